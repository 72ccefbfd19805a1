package routing

import (
	"math"
	"slices"
	"time"
)

// minPeers is how many servers must be measured before one is an outlier.
const minPeers = 3

// Tick judges the servers by the outcomes since the last tick: outliers are
// ejected, and ejected servers are probed and readmitted. It is called a few
// times a second.
func (t *Table) Tick(now time.Time, random Random) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prepare()
	t.forget(now)
	t.markSilent(now)

	if t.stale || t.graceEnded(now) {
		t.rebuild(now)
	}

	s := t.current.Load()
	if s == nil {
		return
	}

	for _, p := range s.pools {
		t.judge(now, random, p)
	}
}

// markSilent marks the servers that stopped reporting, as a process that stands
// still does. Its calls fail only after the wait for a first token.
func (t *Table) markSilent(now time.Time) {
	for _, s := range t.servers {
		s.silent.Store(!s.heard.IsZero() && now.Sub(s.heard) > t.policy.SilentAfter)
	}
}

// graceEnded tells whether a server of the snapshot is lost by now.
func (t *Table) graceEnded(now time.Time) bool {
	for _, s := range t.servers {
		if s.member.Load() != nil && t.lost(now, s) {
			return true
		}
	}

	return false
}

func (t *Table) judge(now time.Time, random Random, p *pool) {
	typical := t.measure(now, p)

	for _, m := range p.members.items {
		t.judgeProbe(now, random, m.server, typical)
		t.forgive(now, m.server)
	}

	t.ejectOutliers(now, random, p, typical)
	t.offerProbe(now, random, p)
}

// measure takes the outcomes in and returns what is typical for the pool.
func (t *Table) measure(now time.Time, p *pool) typical {
	var (
		latencies, errorRates []float64
		load, capacity        float64
	)

	for _, m := range p.members.items {
		s := m.server
		s.outcomes = s.interval.take()
		s.health.add(now, t.policy.HalfLife, s.outcomes)

		if s.ejected.Load() {
			continue
		}

		load += float64(m.load())
		capacity += float64(m.spec.capacity)

		if s.health.samples() >= t.policy.MinSamples {
			errorRates = append(errorRates, s.health.errorRate())
		}

		if s.health.done >= t.policy.MinSamples {
			latencies = append(latencies, s.health.meanLatency())
		}
	}

	if capacity > 0 {
		p.state.setMeanUtilisation(load / capacity)
	}

	return typical{latency: median(latencies), errorRate: median(errorRates)}
}

// typical holds medians of a pool; NaN stands for too few servers.
type typical struct {
	latency   float64
	errorRate float64
}

func median(values []float64) float64 {
	if len(values) < minPeers {
		return math.NaN()
	}

	slices.Sort(values)

	return values[(len(values)-1)/2]
}
