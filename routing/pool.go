package routing

import (
	"math"
	"sync/atomic"
)

// drawsPerChoice limits the number of draws for each wanted server, since a draw may
// return an unusable server or the best one so far once more.
const drawsPerChoice = 4

// member is a server as one snapshot has it. It is immutable.
type member struct {
	server *server
	spec   spec
	// pool is the state of the pool that the server belongs to.
	pool *poolState
	// requestShare is the fraction of the server's capacity that one request takes.
	requestShare float64
	// otherEntries is the number of other entry instances that are assumed to send
	// requests at the same rate as this one.
	otherEntries int64
}

// load estimates how many requests the server holds: those of this entry instance at
// present, those of the other entry instances at the server's last report, and those
// that the others have sent since, assuming that each sent as many as this one. Without
// the extrapolation all entry instances would send to the same least loaded server
// between two reports.
func (m *member) load() int64 {
	own := m.server.inFlight.Load()
	otherInFlight := m.server.otherAtReport.Load() + m.otherEntries*(own-m.server.ownAtReport.Load())

	return own + max(0, otherInFlight)
}

// utilisation returns the load of the server including one more request, as a fraction
// of its capacity.
func (m *member) utilisation() float64 {
	return float64(m.load()+1) * m.requestShare
}

// poolState is the mutable state of a pool, which new snapshots take over.
type poolState struct {
	meanBits       atomic.Uint64
	probeCandidate atomic.Pointer[member]
}

func (s *poolState) meanUtilisation() float64 {
	return math.Float64frombits(s.meanBits.Load())
}

func (s *poolState) setMeanUtilisation(mean float64) {
	s.meanBits.Store(math.Float64bits(mean))
}

// pool holds the servers of one key that can take requests (see Table.newMember),
// ejected ones included.
type pool struct {
	members sampler[*member]
	state   *poolState
}

// takeProbe returns the ejected server that is due for a probe, or nil. It returns the
// server only to an idempotent request, and only to the first one after the server
// became due.
func (p *pool) takeProbe(r *Request) *member {
	m := p.state.probeCandidate.Load()
	if m == nil || !r.idempotent {
		return nil
	}

	if r.excludes(m) || m.server.leaving.Load() || !m.server.ejected.Load() {
		return nil
	}

	if !p.state.probeCandidate.CompareAndSwap(m, nil) {
		return nil
	}

	return m
}

// draw draws up to n usable servers, weighted by capacity, and returns the most
// preferred of them, or nil if no drawn server was usable.
func (p *pool) draw(random Random, r *Request, n int, order *serverOrder) *member {
	var best *member

	for draws := n * drawsPerChoice; draws > 0 && n > 0; draws-- {
		m := p.members.items[p.members.draw(random)]
		if m == best || !m.usable(r) {
			continue
		}

		n--

		if best == nil || order.prefers(m, best) {
			best = m
		}
	}

	return best
}

// scan returns the first usable server from a random position on, or nil. With
// allowEjected, ejected servers are usable too.
func (p *pool) scan(random Random, r *Request, allowEjected bool) *member {
	items := p.members.items
	start := int(random.Uint64() % uint64(len(items)))

	for i := range items {
		m := items[(start+i)%len(items)]
		if m.usable(r) {
			return m
		}

		if allowEjected && !m.server.leaving.Load() && !r.excludes(m) {
			return m
		}
	}

	return nil
}

func (m *member) usable(r *Request) bool {
	return !m.server.leaving.Load() && !m.server.ejected.Load() && !r.excludes(m)
}
