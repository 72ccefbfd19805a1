package routing

import (
	"math"
	"slices"
	"time"
)

// minMedianServers is the minimum number of measured servers for a median.
const minMedianServers = 3

// Tick evaluates the servers by the outcomes since the last tick: it ejects outliers,
// offers ejected servers for probes and readmits those whose probe succeeded. It also
// publishes pending changes in a new snapshot. It should run a few times a second.
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

// markSilent marks the servers that stopped reporting, such as a process that hangs.
// Calls to such a process fail only after the timeout for the first token, which is too
// late to detect it by their outcomes.
func (t *Table) markSilent(now time.Time) {
	for _, s := range t.servers {
		s.silent.Store(!s.lastSeen.IsZero() && now.Sub(s.lastSeen) > t.policy.SilenceTimeout)
	}
}

// hasUnreachableMember reports whether a server of the snapshot has become unreachable.
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

// updateHealth adds the outcomes since the last tick to the health of the servers of a
// pool, updates the mean utilisation of the pool, and returns the medians of its
// servers that aren't ejected.
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

// poolMedians holds medians over the servers of a pool; NaN stands for too few servers.
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
