package routing

import "time"

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 20

// backoff returns the wait before the next probe: it doubles with each
// ejection, and half of it is random, lest entry instances probe together.
func (t *Table) backoff(random Random, ejections int) time.Duration {
	doublings := min(max(ejections-1, 0), maxDoublings)
	wait := min(t.policy.ProbeAfter<<doublings, t.policy.ProbeAtMost)

	return wait/2 + time.Duration(fraction(random)*float64(wait/2))
}

// judgeProbe readmits an ejected server whose probe went well.
func (t *Table) judgeProbe(now time.Time, random Random, s *server, typical typical) {
	if !s.ejected.Load() {
		return
	}

	o := s.outcomes
	if o.probeDone == 0 && o.probeFailed == 0 {
		return
	}

	slow := float64(o.probeTime) > typical.latency*t.policy.LatencyFactor
	if o.probeFailed > 0 || slow {
		t.counters.probesFailed.Inc()
		s.health.ejections++
		s.health.probeAt = now.Add(t.backoff(random, s.health.ejections))

		return
	}

	t.readmit(now, s)
}

func (t *Table) readmit(now time.Time, s *server) {
	s.health.clear()
	s.health.probeAt = now.Add(t.policy.ProbeAtMost)
	s.suspect.Store(false)
	s.ejected.Store(false)
	t.counters.readmitted.Inc()
}

// offerProbe offers an ejected server to the next request that may probe it.
func (t *Table) offerProbe(now time.Time, random Random, p *pool) {
	offered := p.state.due.Load()
	if offered == nil || !p.ejects(offered.server) {
		p.state.due.Store(t.dueProbe(now, random, p))

		return
	}

	s := offered.server
	if s.health.probeAt.After(now) {
		p.state.due.CompareAndSwap(offered, s.member.Load())

		return
	}

	// No request of the pool may probe. A server that reports itself is let in
	// again; if it fails, it is out for twice as long.
	if now.Sub(s.heard) <= t.policy.ReportGrace {
		t.readmit(now, s)
	}

	p.state.due.Store(t.dueProbe(now, random, p))
}

// ejects tells whether a server is an ejected one of this pool.
func (p *pool) ejects(s *server) bool {
	m := s.member.Load()

	return m != nil && m.pool == p.state && s.ejected.Load()
}

// dueProbe returns the ejected server that has waited longest for its probe. It
// puts the next probe of that server off, lest a lost one keep it out for ever.
func (t *Table) dueProbe(now time.Time, random Random, p *pool) *member {
	var due *member

	for _, m := range p.members.items {
		s := m.server
		if !s.ejected.Load() || s.health.probeAt.After(now) {
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

// forgive lets a server that has behaved since its last ejection be probed
// sooner after the next.
func (t *Table) forgive(now time.Time, s *server) {
	if s.ejected.Load() || s.health.ejections == 0 || s.health.probeAt.After(now) {
		return
	}

	s.health.ejections--
	s.health.probeAt = now.Add(t.policy.ProbeAtMost)
}
