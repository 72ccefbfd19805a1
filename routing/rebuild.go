package routing

import (
	"cmp"
	"slices"
	"time"
)

// rebuild replaces the snapshot by one that is made from the present state of all
// servers.
func (t *Table) rebuild(now time.Time) {
	t.snapshotStale = false
	byKey := make(map[Key][]*member)

	for _, s := range t.servers {
		m := t.newMember(now, s)
		s.member.Store(m)

		if m != nil {
			byKey[m.spec.key] = append(byKey[m.spec.key], m)
		}
	}

	pools := make(map[Key]*pool, len(byKey))

	for key, members := range byKey {
		slices.SortFunc(members, func(a, b *member) int {
			return cmp.Compare(a.server.id, b.server.id)
		})

		pools[key] = &pool{
			members: newSampler(members, func(m *member) float64 { return float64(m.spec.capacity) }),
			state:   t.poolStateOf(key),
		}
		t.readmitOverBound(now, pools[key])
	}

	t.current.Store(&snapshot{pools: pools, policy: t.policy, order: serverOrder{domain: t.Domain}})
}

// readmitOverBound readmits servers of a pool that has shrunk until its limit of
// ejected servers holds again, starting with those whose probe is due first.
func (t *Table) readmitOverBound(now time.Time, p *pool) {
	var ejected []*server

	for _, m := range p.members.items {
		if m.server.ejected.Load() {
			ejected = append(ejected, m.server)
		}
	}

	slices.SortStableFunc(ejected, func(a, b *server) int {
		return a.health.probeAt.Compare(b.health.probeAt)
	})

	for _, s := range ejected[:max(0, len(ejected)-t.maxEjected(p))] {
		t.readmit(now, s)
	}
}

// newMember returns nil for a server that can't take requests.
func (t *Table) newMember(now time.Time, s *server) *member {
	if s.leaving.Load() || s.spec.loading || s.spec.address == "" || t.unreachable(now, s) {
		return nil
	}

	spec := s.spec
	spec.price = t.prices[offerKey{class: spec.class, domain: spec.domain}]

	if spec.capacity <= 0 {
		spec.capacity = t.policy.DefaultCapacity
	}

	return &member{
		server:       s,
		spec:         spec,
		pool:         t.poolStateOf(spec.key),
		requestShare: 1 / float64(spec.capacity),
		otherEntries: int64(t.otherEntries),
	}
}

// unreachable reports whether a server is missing from the instance list and hasn't
// reported for Policy.ReportTimeout.
func (t *Table) unreachable(now time.Time, s *server) bool {
	return s.unlisted && now.Sub(s.lastSeen) > t.policy.ReportTimeout
}

// removeExpired removes servers that have been neither listed nor seen for
// Policy.UnlistedRetention. Their leaving mark is lost with them.
func (t *Table) removeExpired(now time.Time) {
	for id, s := range t.servers {
		last := s.lastListed
		if s.lastSeen.After(last) {
			last = s.lastSeen
		}

		if s.unlisted && now.Sub(last) > t.policy.UnlistedRetention {
			s.member.Store(nil)
			delete(t.servers, id)
		}
	}
}

func (t *Table) poolStateOf(key Key) *poolState {
	s, ok := t.poolStates[key]
	if !ok {
		s = &poolState{}
		t.poolStates[key] = s
	}

	return s
}
