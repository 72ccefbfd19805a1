package routing

import (
	"math"
	"sync/atomic"
)

// drawsPerChoice bounds how often a draw is repeated that hit a server which
// can't be used or was drawn already.
const drawsPerChoice = 4

// member is a server as it stands in one snapshot. It is immutable.
type member struct {
	server *server
	spec   spec
	// pool is the state of the pool that the server is in.
	pool *poolState
	// requestShare is the part of the server's capacity that one request takes.
	requestShare float64
	// otherEntries is how many other entry instances are taken to do as this one does.
	otherEntries int64
}

// load estimates how many requests the server holds: those of this entry
// instance now, those of others when the server last reported, and what others
// will have sent since, if they did as this one. Without the last part all
// entry instances run to the same server between two reports.
func (m *member) load() int64 {
	own := m.server.inFlight.Load()
	otherInFlight := m.server.otherAtReport.Load() + m.otherEntries*(own-m.server.ownAtReport.Load())

	return own + max(0, otherInFlight)
}

// utilisation returns the load of the server, one more request included, as a
// share of its capacity.
func (m *member) utilisation() float64 {
	return float64(m.load()+1) * m.requestShare
}

// poolState is the part of a pool that outlives snapshots.
type poolState struct {
	mean           atomic.Uint64
	probeCandidate atomic.Pointer[member]
}

func (s *poolState) meanUtilisation() float64 {
	return math.Float64frombits(s.mean.Load())
}

func (s *poolState) setMeanUtilisation(mean float64) {
	s.mean.Store(math.Float64bits(mean))
}

// pool holds the servers of one key that are neither leaving nor loading.
type pool struct {
	members sampler[*member]
	state   *poolState
}

// takeProbe returns the ejected server that is due for a probe, if the request
// may be risked on it and is the first to come.
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

// draw returns the best of n servers that were drawn by capacity, or nil if
// none of the draws could be used.
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

// scan returns the first usable server from a random place on. It serves the
// rare request for which no draw could be used. Where allow is set, ejected
// servers are usable too.
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
