package scheduling

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/pace"
)

const (
	// weightTolerance is the ratio to its pace up to which the weight of a server stays as it is.
	// Homes move with each change of a weight, and their caches with them.
	weightTolerance = 1.3
	// minWeightFraction is the least weight of a server relative to the fastest one: the slowest
	// servers are still compared now and then, which shows when they become faster.
	minWeightFraction = 1.0 / 8
	// probeAfter is the time without a sample after which one of probeInverse requests takes a slow
	// server for a usual one: half a second leaves time for several samples in the three seconds
	// within which a server that became faster is to be used again.
	probeAfter   = 500 * time.Millisecond
	probeInverse = 4
	// toldTolerance is the difference between two figures of slowness that other instances are told.
	toldTolerance = 0.05
)

// serverPace is what is known of the pace of one server process.
type serverPace struct {
	service *servicePace
	// slowness is the last figure that the server told, relative to its baseline, or nil.
	slowness atomic.Pointer[pace.Slowness]
	// relative are the paces that decisions use; zero is not known.
	relative [paceKinds]atomicFloat
	// longTerm are the paces over a longer time.
	longTerm [paceKinds]atomicFloat
	// weight is the pace by which homes and candidates are drawn; zero is not known.
	weight atomicFloat

	// sampledAt is when a sample was last added, in Unix nanoseconds.
	sampledAt atomic.Int64

	mu         sync.Mutex
	estimators [paceKinds]pace.Estimator
	// untold are the samples that the instances of an audience have not been told yet.
	untold [audienceCount][paceKinds]pace.Sample
	// told is the last figure as the server told it, and published the last one that other
	// instances were told.
	told, published pace.Slowness
	baseline        pace.Baseline
}

func (p *serverPace) estimator(kind paceKind) pace.Estimator {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.estimators[kind]
}

// of returns the learned pace for a kind of work, where 1 is usual.
func (p *serverPace) of(kind paceKind) float64 {
	if relative := p.relative[kind].load(); relative > 0 {
		return relative
	}

	return 1
}

// expectedSlowness returns the slowness that is expected now, 1 if the server never told it.
func (p *serverPace) expectedSlowness(now time.Time) float64 {
	told := p.slowness.Load()
	if told == nil {
		return 1
	}

	return told.Expected(now, p.service.persistenceTime())
}

// timeFactor returns how long work takes on the server now, relative to a usual one.
func (p *serverPace) timeFactor(now time.Time, kind paceKind) float64 {
	return p.expectedSlowness(now) / p.of(kind)
}

// placingFactor returns timeFactor, or for a small part of the requests that of a usual pace if the
// server is taken for a slow one and was not measured recently: it may have become faster, and where
// others have room, also one that is a little slower gets too few requests to show it.
func (p *serverPace) placingFactor(now time.Time, kind paceKind) float64 {
	factor := p.timeFactor(now, kind)
	if p.of(kind) >= 1 || now.UnixNano()-p.sampledAt.Load() < int64(probeAfter) || rand.IntN(probeInverse) > 0 {
		return factor
	}

	return p.expectedSlowness(now)
}

// tell records a told figure unless a newer one is known, and reports whether other instances should
// be told.
func (p *serverPace) tell(next pace.Slowness) bool {
	next.Value = pace.BoundSlowness(next.Value)
	if next.Value == 0 {
		return false
	}

	p.mu.Lock()
	defer p.mu.Unlock()

	if !next.At.After(p.told.At) {
		return false
	}

	p.baseline.Observe(p.told, next)
	p.service.observe(p.told, next)
	p.told = next

	relative := p.baseline.Relative(next)
	p.slowness.Store(&relative)

	// Others expect what was published, decayed. A repeated figure renews it.
	age := next.At.Sub(p.published.At)
	if math.Abs(p.published.Value-next.Value) <= toldTolerance && (next.Value == 1 || age < p.service.persistenceTime()/2) {
		return false
	}

	p.published = next

	return true
}

// add adds samples, and queues them for the instances of an audience.
func (p *serverPace) add(now time.Time, kind paceKind, sample pace.Sample, upstream bool) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.sampledAt.Store(now.UnixNano())
	p.estimators[kind].Add(now, sample)
	p.untold[Downstream][kind] = p.untold[Downstream][kind].Plus(sample)

	if upstream {
		p.untold[Upstream][kind] = p.untold[Upstream][kind].Plus(sample)
	}
}

// takeUntold returns the samples that an audience has not been told yet, and clears them.
func (p *serverPace) takeUntold(to Audience) [paceKinds]pace.Sample {
	p.mu.Lock()
	defer p.mu.Unlock()

	samples := p.untold[to]
	p.untold[to] = [paceKinds]pace.Sample{}

	return samples
}

// updateWeight returns the weight by which homes and candidates are drawn, after adapting it to the
// server's pace where that differs by more than weightTolerance.
func (p *serverPace) updateWeight() float64 {
	current := p.overall()
	if weight := p.weight.load(); weight > 0 && current < weight*weightTolerance && weight < current*weightTolerance {
		return weight
	}

	p.weight.store(current)

	return current
}

// drawWeight returns the weight by which homes and candidates are drawn. A server whose weight is not
// known yet counts as a usual one.
func (p *serverPace) drawWeight(fastest float64) float64 {
	weight := p.weight.load()
	if weight == 0 {
		weight = min(1, fastest)
	}

	return max(weight, minWeightFraction*fastest)
}
