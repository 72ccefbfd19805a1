package entry

import (
	"slices"
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
}

// newsPerDatagram keeps a datagram with news below gossip.MaxWord: an entry takes
// about a hundred bytes.
const newsPerDatagram = 10

// tellServers tells all others what changed for backend servers, if this instance is
// one of those that read the register for all. What is lost on its way is noticed by
// the digest in the next word.
func (p *parts) tellServers(now time.Time, before []register.Server) {
	if !p.members.Leading(p.self()) {
		return
	}

	peers := p.members.Addresses(p.self())

	for part := range slices.Chunk(p.newsOf(now, before), newsPerDatagram) {
		p.sendAll(peers, datagram{Servers: part})
	}
}

// newsOf returns what changed since before, but for what only counts entries.
func (p *parts) newsOf(now time.Time, before []register.Server) []serverNews {
	var news []serverNews

	old := byServer(before)

	for _, s := range p.register.Servers() {
		was, known := old[s.ID]
		delete(old, s.ID)

		if known && sameServer(was, s) {
			continue
		}

		one := serverNews{
			ID: s.ID, Incarnation: s.Incarnation, Version: p.register.Version(s.ID), Service: s.Service,
			Address: s.Address, Domain: s.Domain, Slots: s.Slots, Leaving: s.Leaving, Reclaimable: s.Reclaimable,
		}
		if !s.Leaves.IsZero() {
			one.LeavesIn = s.Leaves.Sub(now)
		}

		news = append(news, one)
	}

	for id := range old {
		news = append(news, serverNews{ID: id, Version: p.register.Version(id), Gone: true})
	}

	return news
}

// hearServers takes another instance's news in. Before the register was read once, a
// few changes would be taken for the whole.
func (p *parts) hearServers(now time.Time, news []serverNews) {
	if !p.register.Loaded() {
		return
	}

	changes := make([]register.Change, 0, len(news))

	for _, n := range news {
		c := register.Change{ID: n.ID, Version: n.Version}

		if !n.Gone {
			c.Server = &register.Server{
				ID: n.ID, Incarnation: n.Incarnation, Service: n.Service, Address: n.Address, Domain: n.Domain,
				Slots: n.Slots, Leaving: n.Leaving, Reclaimable: n.Reclaimable,
			}
			if n.LeavesIn != 0 {
				c.Server.Leaves = now.Add(n.LeavesIn)
			}
		}

		changes = append(changes, c)
	}

	before := p.register.Servers()
	p.register.Apply(changes)
	p.serversChanged(before)
}
