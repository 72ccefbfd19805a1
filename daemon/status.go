package daemon

import (
	"time"

	"monsoonlever/controller"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Status is what an instance says of itself to operators.
type Status struct {
	Instance      fleet.InstanceID    `json:"instance"`
	Incarnation   fleet.Incarnation   `json:"incarnation"`
	Region        fleet.Region        `json:"region"`
	FailureDomain fleet.FailureDomain `json:"failureDomain"`
	Ready         bool                `json:"ready"`
	Missing       []string            `json:"missing,omitempty"`
	Manifest      ManifestStatus      `json:"manifest"`
	Log           LogStatus           `json:"log"`
	Servers       []ServerStatus      `json:"servers"`
	Members       []MemberStatus      `json:"members,omitempty"`
	// Control is nil on an instance that takes no part in control.
	Control *controller.Status `json:"control,omitempty"`
}

// MemberStatus tells what an instance knows of another entry instance.
type MemberStatus struct {
	ID     fleet.InstanceID    `json:"id"`
	Domain fleet.FailureDomain `json:"domain"`
	State  string              `json:"state"`
	Phase  string              `json:"phase"`
	// Manifest is the version that the other says it has in force.
	Manifest  provider.Offset `json:"manifest"`
	Operators string          `json:"operators"`
}

// ManifestStatus tells which manifest is in force on an instance.
type ManifestStatus struct {
	Version  provider.Offset `json:"version"`
	Name     string          `json:"name,omitempty"`
	ID       string          `json:"id,omitempty"`
	Operator string          `json:"operator,omitempty"`
}

// LogStatus tells how an instance sees the platform's log.
type LogStatus struct {
	Healthy bool `json:"healthy"`
	// ReadAgeSeconds is the time since the last read that was answered.
	ReadAgeSeconds float64 `json:"readAgeSeconds"`
}

// ServerStatus tells what an instance holds of one backend server.
type ServerStatus struct {
	ID       fleet.InstanceID    `json:"id"`
	Service  fleet.Service       `json:"service"`
	Model    fleet.Model         `json:"model,omitempty"`
	Version  fleet.ModelVersion  `json:"version,omitempty"`
	Domain   fleet.FailureDomain `json:"domain"`
	State    string              `json:"state"`
	InFlight int64               `json:"inFlight"`
	Load     int64               `json:"load"`
	Reported time.Time           `json:"reported,omitzero"`
}

func (p *parts) status() Status {
	missing := p.missing()

	s := Status{
		Instance:      p.settings.Instance,
		Incarnation:   p.incarnation,
		Region:        p.settings.Region,
		FailureDomain: p.settings.FailureDomain,
		Ready:         len(missing) == 0,
		Missing:       missing,
		Log:           p.claims.log(),
		Servers:       p.serverStatuses(),
		Members:       p.memberStatuses(),
	}

	if p.controller != nil {
		control := p.controller.Status()
		s.Control = &control
	}

	if in := p.follower.Snapshot(); in != nil {
		s.Manifest = ManifestStatus{
			Version: in.Version(), Name: in.Manifest().Name(), ID: string(in.ID()), Operator: in.Operator(),
		}
	}

	return s
}

func (p *parts) serverStatuses() []ServerStatus {
	var servers []ServerStatus

	for _, s := range p.table.Statuses() {
		state := "live"

		switch {
		case s.Leaving():
			state = "leaving"
		case s.Loading():
			state = "loading"
		case s.Ejected():
			state = "ejected"
		}

		servers = append(servers, ServerStatus{
			ID: s.ID(), Service: s.Key().Service(), Model: s.Key().Model(), Version: s.Key().Version(),
			Domain: s.Domain(), State: state, InFlight: s.InFlight(), Load: s.Load(), Reported: s.ReportedAt(),
		})
	}

	return servers
}

func (p *parts) memberStatuses() []MemberStatus {
	if p.peers == nil {
		return nil
	}

	var members []MemberStatus

	for _, m := range p.peers.group.View().Members() {
		// A member that has said nothing yet is shown without its payload.
		payload, _ := decodePayload(m.Payload())
		members = append(members, MemberStatus{
			ID: m.ID(), Domain: m.Domain(), State: m.Status().String(), Phase: m.Phase().String(),
			Manifest: payload.Manifest, Operators: payload.Operators,
		})
	}

	return members
}
