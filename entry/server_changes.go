package entry

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// serverChange is a change of one backend server, which an instance that reads the register
// publishes to the others.
type serverChange struct {
	_msgpack    struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	ID          fleet.InstanceID
	Incarnation fleet.Incarnation
	Version     uint64
	Gone        bool
	Service     fleet.Service
	Address     string
	Domain      fleet.FailureDomain
	Slots       int
	Leaving     bool
	Reclaimable bool
	// LeavesIn is the time until a reclaimed server leaves; zero is unknown.
	LeavesIn time.Duration
	Program  fleet.Version
}

// serverChangeBytes is the encoded size of a change without its names.
const serverChangeBytes = 60

// publishServerChanges sends changes of backend servers to all other instances, if this
// instance is a leader of a full mesh, where leaders read the register for all. A lost message is detected by
// the digest in the next heartbeat. Outside of a full mesh, instances follow the register of their
// relays.
func (p *components) publishServerChanges(now time.Time, deltas []register.Delta) {
	plan := p.plan.Load()
	if !plan.FullMesh || !plan.IsLeader(p.self()) || len(plan.Relays) == 0 {
		return
	}

	for _, batch := range pack(p.makeServerChanges(now, deltas), serverChange.size) {
		p.sendAll(addressesOf(plan.Relays), datagram{Servers: batch})
	}
}

func (c serverChange) size() int {
	return serverChangeBytes + len(c.ID) + len(c.Program) + len(c.Service) + len(c.Address) + len(c.Domain)
}

// makeServerChanges returns the messages for changes of the register.
func (p *components) makeServerChanges(now time.Time, deltas []register.Delta) []serverChange {
	changes := make([]serverChange, 0, len(deltas))

	for _, d := range deltas {
		if d.After == nil {
			changes = append(changes, serverChange{ID: d.Before.ID, Version: p.register.Version(d.Before.ID), Gone: true})

			continue
		}

		s := d.After
		change := serverChange{
			ID: s.ID, Incarnation: s.Incarnation, Version: p.register.Version(s.ID), Service: s.Service,
			Address: s.Address, Domain: s.Domain, Slots: s.Slots, Leaving: s.Leaving, Reclaimable: s.Reclaimable,
			Program: s.Version,
		}

		if !s.Leaves.IsZero() {
			change.LeavesIn = s.Leaves.Sub(now)
		}

		changes = append(changes, change)
	}

	return changes
}

// receiveServerChanges applies the changes that another instance publishes. Before the first full
// snapshot of the register they are ignored, since a few changes would be taken for the whole
// register.
func (p *components) receiveServerChanges(now time.Time, changes []serverChange) {
	if !p.register.Loaded() {
		return
	}

	registerChanges := make([]register.Change, 0, len(changes))

	for _, change := range changes {
		c := register.Change{ID: change.ID, Version: change.Version}

		if !change.Gone {
			c.Server = &register.Server{
				ID: change.ID, Incarnation: change.Incarnation, Service: change.Service, Address: change.Address, Domain: change.Domain,
				Slots: change.Slots, Leaving: change.Leaving, Reclaimable: change.Reclaimable, Version: change.Program,
			}
			if change.LeavesIn != 0 {
				c.Server.Leaves = now.Add(change.LeavesIn)
			}
		}

		registerChanges = append(registerChanges, c)
	}

	p.updateServers(func() []register.Delta { return p.register.Apply(registerChanges) })
}
