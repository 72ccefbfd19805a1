package routing

import (
	"math"
	"slices"
	"time"
)

// minMedianServers is how many servers must be measured before one is an outlier.
const minMedianServers = 3

// Tick judges the servers by the outcomes since the last tick: outliers are
// ejected, and ejected servers are probed and readmitted. It is called a few
// times a second.
func (t *Table) Tick(now time.Time, random Random) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.initialize()
	t.removeExpired(now)
	t.markSilent(now)

	if t.snapshotStale || t.hasUnreachableMember(now) {
		t.rebuild(now)
	}

	s := t.current.Load()
	if s == nil {
		return
	}

	for _, p := range s.pools {
		t.evaluatePool(now, random, p)
	}
}

// markSilent marks the servers that stopped reporting, as a process that stands
// still does. Its calls fail only after the wait for a first token.
func (t *Table) markSilent(now time.Time) {
	for _, s := range t.servers {
		s.silent.Store(!s.lastSeen.IsZero() && now.Sub(s.lastSeen) > t.policy.SilenceTimeout)
	}
}

// hasUnreachableMember tells whether a server of the snapshot is lost by now.
func (t *Table) hasUnreachableMember(now time.Time) bool {
	for _, s := range t.servers {
		if s.member.Load() != nil && t.unreachable(now, s) {
			return true
		}
	}

	return false
}

func (t *Table) evaluatePool(now time.Time, random Random, p *pool) {
	medians := t.updateHealth(now, p)

	for _, m := range p.members.items {
		t.evaluateProbe(now, random, m.server, medians)
		t.reduceEjections(now, m.server)
	}

	t.ejectOutliers(now, random, p, medians)
	t.offerProbe(now, random, p)
}

// updateHealth takes the outcomes in and returns what is typical for the pool.
func (t *Table) updateHealth(now time.Time, p *pool) poolMedians {
	var (
		latencies, errorRates    []float64
		totalLoad, totalCapacity float64
	)

	for _, m := range p.members.items {
		s := m.server
		s.tickOutcomes = s.pendingOutcomes.take()
		s.health.addOutcomes(now, t.policy.OutcomeHalfLife, s.tickOutcomes)

		if s.ejected.Load() {
			continue
		}

		totalLoad += float64(m.load())
		totalCapacity += float64(m.spec.capacity)

		if s.health.samples() >= t.policy.MinSamples {
			errorRates = append(errorRates, s.health.errorRate())
		}

		if s.health.succeeded >= t.policy.MinSamples {
			latencies = append(latencies, s.health.meanLatency())
		}
	}

	if totalCapacity > 0 {
		p.state.setMeanUtilisation(totalLoad / totalCapacity)
	}

	return poolMedians{latency: median(latencies), errorRate: median(errorRates)}
}

// poolMedians holds medians of a pool; NaN stands for too few servers.
type poolMedians struct {
	latency   float64
	errorRate float64
}

func median(values []float64) float64 {
	if len(values) < minMedianServers {
		return math.NaN()
	}

	slices.Sort(values)

	return values[(len(values)-1)/2]
}
