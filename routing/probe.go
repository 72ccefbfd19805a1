package routing

import "time"

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 20

// backoff returns the delay before the next probe. It doubles with each ejection, and
// half of it is random, so that entry instances don't probe a server at the same time.
func (t *Table) backoff(random Random, ejections int) time.Duration {
	doublings := min(max(ejections-1, 0), maxDoublings)
	delay := min(t.policy.InitialProbeDelay<<doublings, t.policy.MaxProbeDelay)

	return delay/2 + time.Duration(fraction(random)*float64(delay/2))
}

// evaluateProbe readmits an ejected server after a successful probe, and delays its
// next probe after a failed or slow one.
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

// offerProbe makes an ejected server of the pool available to the next idempotent
// request as a probe.
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

	// No idempotent request took the probe in time. A server that still reports is
	// readmitted without a probe; if it fails again, its next backoff is twice as long.
	if now.Sub(s.lastSeen) <= t.policy.ReportTimeout {
		t.readmit(now, s)
	}

	p.state.probeCandidate.Store(t.nextProbe(now, random, p))
}

// isEjectedMember reports whether a server is in this pool and ejected.
func (p *pool) isEjectedMember(s *server) bool {
	m := s.member.Load()

	return m != nil && m.pool == p.state && s.ejected.Load()
}

// nextProbe returns the ejected server whose probe is most overdue, or nil. It also
// schedules the probe after that, so that a probe whose outcome is never reported
// doesn't keep the server ejected forever.
func (t *Table) nextProbe(now time.Time, random Random, p *pool) *member {
	var due *member

	for _, m := range p.members.items {
		s := m.server
		if !s.ejected.Load() || s.health.probeAt.After(now) || t.tooLoadedToProbe(now, m) {
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

// tooLoadedToProbe reports whether a server has too much work for a probe: it still
// holds a request of this entry instance, or has more than the mean utilisation of its
// pool. This keeps probes from overloading a slow server. A request that is never
// answered delays the next probe by at most Policy.MaxProbeDelay.
func (t *Table) tooLoadedToProbe(now time.Time, m *member) bool {
	if now.Sub(m.server.health.probeAt) >= t.policy.MaxProbeDelay {
		return false
	}

	return m.server.inFlight.Load() > 0 || m.utilisation() > m.pool.meanUtilisation()+m.requestShare
}

// reduceEjections decrements the number of ejections of a server that hasn't been
// ejected for Policy.MaxProbeDelay, which shortens the backoff after its next ejection.
func (t *Table) reduceEjections(now time.Time, s *server) {
	if s.ejected.Load() || s.health.ejections == 0 || s.health.probeAt.After(now) {
		return
	}

	s.health.ejections--
	s.health.probeAt = now.Add(t.policy.MaxProbeDelay)
}
