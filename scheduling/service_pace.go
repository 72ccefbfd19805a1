package scheduling

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/pace"
)

// paceKind is a kind of work whose pace is learned by itself.
type paceKind int

const (
	// reading is reading prompts, in tokens a second.
	reading paceKind = iota
	// writing is writing events of streams, in events a second.
	writing
	// calling is answering requests without a prompt, in requests a second.
	calling

	paceKinds
)

const (
	// toldTTL is how long after the last told figure the servers of a service still count as telling.
	toldTTL = time.Minute
	// paceRefreshInterval is how often the paces that decisions use are derived anew; it grows by
	// paceRefreshPerServer with the number of servers. Paces are averages over about a second.
	paceRefreshInterval  = 100 * time.Millisecond
	paceRefreshPerServer = 100 * time.Microsecond
)

// servicePace is what is known of the paces of one service's servers. The methods that placing
// calls without checking (told, accepted, maxDrawFactor, logsChoices) accept a nil pointer, which
// knows nothing.
type servicePace struct {
	// toldAt is when a server last told its slowness, in Unix nanoseconds; zero is never.
	toldAt atomic.Int64
	// persistence is how long unusual figures hold, as a time.Duration.
	persistence atomic.Int64
	refreshedAt atomic.Int64
	// usual holds the usual rate of each kind of work, and fastest the highest pace of a server that
	// homes and candidates are drawn by.
	usual   [paceKinds]atomicFloat
	fastest atomicFloat
	// ratio is the usual ratio of the longest pause of a stream to its mean one.
	ratio atomicFloat

	mu       sync.Mutex
	observed pace.Persistence
	pauses   pace.Estimator // of the ratio
}

// atomicFloat is a number that is read and written atomically. The zero value is 0.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(x float64) { f.bits.Store(math.Float64bits(x)) }

// told reports whether servers of the service tell their slowness.
func (p *servicePace) told(now time.Time) bool {
	if p == nil {
		return false
	}

	at := p.toldAt.Load()

	return at != 0 && now.UnixNano()-at < int64(toldTTL)
}

// observe records two successive figures of one server.
func (p *servicePace) observe(before, after pace.Slowness) {
	p.toldAt.Store(max(p.toldAt.Load(), after.At.UnixNano()))

	p.mu.Lock()
	defer p.mu.Unlock()

	p.observed.Observe(before, after)
	p.persistence.Store(int64(p.observed.Time()))
}

// persistenceTime returns how long unusual figures hold.
func (p *servicePace) persistenceTime() time.Duration { return time.Duration(p.persistence.Load()) }

// refresh derives the paces of the servers from their samples, if that was not done recently.
func (p *servicePace) refresh(now time.Time, pool []*server) {
	last := p.refreshedAt.Load()
	interval := paceRefreshInterval + time.Duration(len(pool))*paceRefreshPerServer

	if last != 0 && now.UnixNano()-last < int64(interval) || !p.refreshedAt.CompareAndSwap(last, now.UnixNano()) {
		return
	}

	copies := make([]pace.Estimator, len(pool))
	estimators := make([]*pace.Estimator, len(pool))

	for kind := range paceKinds {
		for i, srv := range pool {
			copies[i] = srv.pace.estimator(kind)
			estimators[i] = &copies[i]
		}

		usual := pace.Usual(now, estimators)
		p.usual[kind].store(usual)

		for i, srv := range pool {
			srv.pace.relative[kind].store(estimators[i].Relative(now, usual))
			srv.pace.longTerm[kind].store(estimators[i].LongTerm(now, usual))
		}
	}

	fastest := pace.Min

	for _, srv := range pool {
		fastest = max(fastest, srv.pace.updateWeight())
	}

	p.fastest.store(fastest)
}

// pacesOf returns what is known of the paces of a service's servers, or nil if they don't tell their
// slowness. Paces are relative to all servers of the service, also for a request that may use only
// some of them.
func (s *Scheduler) pacesOf(now time.Time, service fleet.Service) *servicePace {
	pools := s.pools.Load()
	if pools == nil {
		return nil
	}

	pool := (*pools)[service]
	if len(pool) == 0 {
		return nil
	}

	p := pool[0].pace.service
	if !p.told(now) {
		return nil
	}

	p.refresh(now, pool)

	return p
}

// servicePace returns what is known of the paces of a service's servers, and creates it on first
// use. The caller holds s.mu.
func (s *Scheduler) servicePace(service fleet.Service) *servicePace {
	if s.paces == nil {
		s.paces = make(map[fleet.Service]*servicePace)
	}

	p := s.paces[service]
	if p == nil {
		p = &servicePace{}
		p.persistence.Store(int64(p.observed.Time()))
		p.ratio.store(usualPauseRatio)
		// While the first refresh is under way, other requests are placed by equal weights.
		p.fastest.store(1)
		s.paces[service] = p
	}

	return p
}
