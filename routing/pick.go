package routing

import "time"

// Pick chooses a server for a request. It returns ErrNoServer if no server can take the
// request. The caller reports the start and the outcome of the request through the
// methods of the Choice.
func (t *Table) Pick(now time.Time, random Random, r Request) (Choice, error) {
	s := t.current.Load()
	if s == nil {
		return Choice{}, ErrNoServer
	}

	p := s.pools[r.key]
	if p == nil {
		t.counters.noServer.Inc()

		return Choice{}, ErrNoServer
	}

	if m := p.preferred(&r); m != nil {
		return t.newChoice(m, &r, false, false), nil
	}

	if m := p.takeProbe(&r); m != nil {
		t.counters.picksToProbe.Inc()

		return t.newChoice(m, &r, true, false), nil
	}

	best := p.draw(random, &r, s.policy.Choices, &s.order)
	if best == nil {
		return t.pickByScan(p, random, &r)
	}

	if m := t.prefixHolder(now, s, p, &r, best); m != nil {
		t.counters.picksByPrefix.Inc()

		return t.newChoice(m, &r, false, true), nil
	}

	t.counters.picksByLoad.Inc()

	return t.newChoice(best, &r, false, false), nil
}

// pickByScan scans the whole pool for a request for which no drawn server was usable,
// because most of the pool is excluded, ejected or leaving.
func (t *Table) pickByScan(p *pool, random Random, r *Request) (Choice, error) {
	if m := p.scan(random, r, false); m != nil {
		t.counters.picksByLoad.Inc()

		return t.newChoice(m, r, false, false), nil
	}

	// An ejected server may still be able to answer, so it is better than an error.
	if m := p.scan(random, r, true); m != nil {
		t.counters.picksLastResort.Inc()

		return t.newChoice(m, r, false, false), nil
	}

	t.counters.noServer.Inc()

	return Choice{}, ErrNoServer
}

// prefixHolder returns the most preferred server that may have the prompt prefix of the
// request cached, or nil if there is none or its utilisation exceeds both the affinity
// bound and the utilisation of best, the server that was drawn by load.
func (t *Table) prefixHolder(now time.Time, s *snapshot, p *pool, r *Request, best *member) *member {
	if r.prefix == 0 {
		return nil
	}

	var holder *member

	set := t.prefixes.set(r.prefix)
	for i := range set {
		e := set[i].Load()
		if e == nil || e.prefix != r.prefix || now.After(e.expiresAt) {
			continue
		}

		m := e.server.member.Load()
		if m == nil || m.spec.key != r.key || m.server.unresponsive() || !m.usable(r) {
			continue
		}

		if holder == nil || s.order.prefers(m, holder) {
			holder = m
		}
	}

	if holder == nil || holder == best {
		return holder
	}

	bound := s.policy.AffinityBound * (p.state.meanUtilisation() + holder.requestShare)
	bound = min(bound, s.policy.AffinityCeiling)

	if holder.utilisation() > max(bound, best.utilisation()) {
		t.counters.prefixOverBound.Inc()

		return nil
	}

	return holder
}

func (t *Table) newChoice(m *member, r *Request, probe, byPrefix bool) Choice {
	return Choice{
		server:   m.server,
		table:    t,
		address:  m.spec.address,
		domain:   m.spec.domain,
		prefix:   r.prefix,
		probe:    probe,
		byPrefix: byPrefix,
	}
}
