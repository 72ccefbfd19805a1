package entry

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// serverNews is a change of one backend server, as an instance that reads the register
// tells it to the others.
type serverNews struct {
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

// newsBytes is what news of a server takes beside its names.
const newsBytes = 60

// tellServers sends others what changed for backend servers: of few instances those that lead
// read the register for all. What is lost on its way is noticed by the digest in the next
// heartbeat. Many instances follow the register of their relays.
func (p *parts) tellServers(now time.Time, deltas []register.Delta) {
	plan := p.plan.Load()
	if !plan.FullMesh || !plan.IsLeader(p.self()) || len(plan.Relays) == 0 {
		return
	}

	for _, part := range pack(p.newsOf(now, deltas), serverNews.size) {
		p.sendAll(addressesOf(plan.Relays), datagram{Servers: part})
	}
}

func (n serverNews) size() int {
	return newsBytes + len(n.ID) + len(n.Program) + len(n.Service) + len(n.Address) + len(n.Domain)
}

// newsOf returns changes of servers as messages to other instances.
func (p *parts) newsOf(now time.Time, deltas []register.Delta) []serverNews {
	news := make([]serverNews, 0, len(deltas))

	for _, d := range deltas {
		if d.After == nil {
			news = append(news, serverNews{ID: d.Before.ID, Version: p.register.Version(d.Before.ID), Gone: true})

			continue
		}

		s := d.After
		one := serverNews{
			ID: s.ID, Incarnation: s.Incarnation, Version: p.register.Version(s.ID), Service: s.Service,
			Address: s.Address, Domain: s.Domain, Slots: s.Slots, Leaving: s.Leaving, Reclaimable: s.Reclaimable,
			Program: s.Version,
		}

		if !s.Leaves.IsZero() {
			one.LeavesIn = s.Leaves.Sub(now)
		}

		news = append(news, one)
	}

	return news
}

// receiveServers takes another instance's news in. Before the register was read once, a
// few changes would be taken for the whole.
func (p *parts) receiveServers(now time.Time, news []serverNews) {
	if !p.register.Loaded() {
		return
	}

	changes := make([]register.Change, 0, len(news))

	for _, n := range news {
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

		changes = append(changes, c)
	}

	p.changeServers(func() []register.Delta { return p.register.Apply(changes) })
}
