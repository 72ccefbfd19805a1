package routing

import "time"

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 20

// backoff returns the wait before the next probe: it doubles with each
// ejection, and half of it is random, lest entry instances probe together.
func (t *Table) backoff(random Random, ejections int) time.Duration {
	doublings := min(max(ejections-1, 0), maxDoublings)
	wait := min(t.policy.InitialProbeDelay<<doublings, t.policy.MaxProbeDelay)

	return wait/2 + time.Duration(fraction(random)*float64(wait/2))
}

// evaluateProbe readmits an ejected server whose probe went well.
func (t *Table) evaluateProbe(now time.Time, random Random, s *server, medians poolMedians) {
	if !s.ejected.Load() {
		return
	}

	o := s.tickOutcomes
	if o.probeSucceeded == 0 && o.probeFailed == 0 {
		return
	}

	slow := float64(o.probeLatency) > medians.latency*t.policy.LatencyFactor
	if o.probeFailed > 0 || slow {
		t.counters.probesFailed.Inc()
		s.health.ejections++
		s.health.probeAt = now.Add(t.backoff(random, s.health.ejections))

		return
	}

	t.readmit(now, s)
}

func (t *Table) readmit(now time.Time, s *server) {
	s.health.clearOutcomes()
	s.health.probeAt = now.Add(t.policy.MaxProbeDelay)
	s.dialFailed.Store(false)
	s.ejected.Store(false)
	t.counters.readmissions.Inc()
}

// offerProbe offers an ejected server to the next request that may probe it.
func (t *Table) offerProbe(now time.Time, random Random, p *pool) {
	offered := p.state.probeCandidate.Load()
	if offered == nil || !p.isEjectedMember(offered.server) {
		p.state.probeCandidate.Store(t.nextProbe(now, random, p))

		return
	}

	s := offered.server
	if s.health.probeAt.After(now) {
		p.state.probeCandidate.CompareAndSwap(offered, s.member.Load())

		return
	}

	// No request of the pool may probe. A server that reports itself is let in
	// again; if it fails, it is out for twice as long.
	if now.Sub(s.lastSeen) <= t.policy.ReportTimeout {
		t.readmit(now, s)
	}

	p.state.probeCandidate.Store(t.nextProbe(now, random, p))
}

// isEjectedMember tells whether a server is an ejected one of this pool.
func (p *pool) isEjectedMember(s *server) bool {
	m := s.member.Load()

	return m != nil && m.pool == p.state && s.ejected.Load()
}

// nextProbe returns the ejected server that has waited longest for its probe. It
// puts the next probe of that server off, lest a lost one keep it out for ever.
func (t *Table) nextProbe(now time.Time, random Random, p *pool) *member {
	var due *member

	for _, m := range p.members.items {
		s := m.server
		if !s.ejected.Load() || s.health.probeAt.After(now) || t.hasEnoughLoad(now, m) {
			continue
		}

		if due == nil || s.health.probeAt.Before(due.server.health.probeAt) {
			due = m
		}
	}

	if due != nil {
		due.server.health.probeAt = now.Add(t.backoff(random, due.server.health.ejections))
	}

	return due
}

// hasEnoughLoad tells whether a server has enough to do to show how it is: it
// still holds a request of this entry instance, or more than its share of the
// load. Else a slow server would drown in probes. An answer that never comes
// puts the next probe off for a bounded time only.
func (t *Table) hasEnoughLoad(now time.Time, m *member) bool {
	if now.Sub(m.server.health.probeAt) >= t.policy.MaxProbeDelay {
		return false
	}

	return m.server.inFlight.Load() > 0 || m.utilisation() > m.pool.meanUtilisation()+m.requestShare
}

// reduceEjections lets a server that has behaved since its last ejection be probed
// sooner after the next.
func (t *Table) reduceEjections(now time.Time, s *server) {
	if s.ejected.Load() || s.health.ejections == 0 || s.health.probeAt.After(now) {
		return
	}

	s.health.ejections--
	s.health.probeAt = now.Add(t.policy.MaxProbeDelay)
}
