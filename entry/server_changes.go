package entry

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// serverChange is a change of one backend server, as an instance that reads the register
// tells it to the others.
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
	// LeavesIn is the time that a reclaimed server has left, zero is not known.
	LeavesIn time.Duration
	Program  fleet.Version
}

// serverChangeBytes is what news of a server takes beside its names.
const serverChangeBytes = 60

// publishServerChanges sends others what changed for backend servers: of few instances those that lead
// read the register for all. What is lost on its way is noticed by the digest in the next
// heartbeat. Many instances follow the register of their relays.
func (p *components) publishServerChanges(now time.Time, deltas []register.Delta) {
	plan := p.plan.Load()
	if !plan.FullMesh || !plan.IsLeader(p.self()) || len(plan.Relays) == 0 {
		return
	}

	for _, part := range pack(p.makeServerChanges(now, deltas), serverChange.size) {
		p.sendAll(addressesOf(plan.Relays), datagram{Servers: part})
	}
}

func (c serverChange) size() int {
	return serverChangeBytes + len(c.ID) + len(c.Program) + len(c.Service) + len(c.Address) + len(c.Domain)
}

// makeServerChanges returns changes of servers as messages to other instances.
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

// receiveServerChanges takes another instance's news in. Before the register was read once, a
// few changes would be taken for the whole.
func (p *components) receiveServerChanges(now time.Time, changes []serverChange) {
	if !p.register.Loaded() {
		return
	}

	registerChanges := make([]register.Change, 0, len(changes))

	for _, n := range changes {
		c := register.Change{ID: n.ID, Version: n.Version}

		if !n.Gone {
			c.Server = &register.Server{
				ID: n.ID, Incarnation: n.Incarnation, Service: n.Service, Address: n.Address, Domain: n.Domain,
				Slots: n.Slots, Leaving: n.Leaving, Reclaimable: n.Reclaimable, Version: n.Program,
			}
			if n.LeavesIn != 0 {
				c.Server.Leaves = now.Add(n.LeavesIn)
			}
		}

		registerChanges = append(registerChanges, c)
	}

	p.updateServers(func() []register.Delta { return p.register.Apply(registerChanges) })
}
