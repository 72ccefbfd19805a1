package answer

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// SetMembers takes the view of the live entry instances, this one left out.
func (s *Store) SetMembers(now time.Time, members []Member) []StoreCommand {
	s.begin(now)
	s.members = slices.Clone(members)
	s.live = make(map[fleet.InstanceID]Member, len(members))

	for _, m := range members {
		s.live[m.ID] = m
	}

	s.forAll(func(a *keptAnswer) { s.onMembers(now, a) })

	return s.finish()
}

// Leave says that this instance will be reclaimed: what it owns is handed off.
func (s *Store) Leave(now time.Time) []StoreCommand {
	s.begin(now)
	s.leaving = true
	s.flush(now)
	s.forAll(func(a *keptAnswer) { s.tryHandOff(now, a) })

	return s.finish()
}

// HandedOff tells whether nothing is left that only this instance can answer.
func (s *Store) HandedOff() bool {
	for _, a := range s.answers {
		if a.role == roleOwner {
			return false
		}
	}

	return true
}

// HasHeir tells whether an instance is there that could go on with what this one
// owns.
func (s *Store) HasHeir() bool {
	return slices.ContainsFunc(s.members, func(m Member) bool {
		return !m.Leaving && m.Domain != s.Self.Domain
	})
}

func (s *Store) forAll(f func(*keptAnswer)) {
	kept := s.order[:0]

	for _, id := range s.order {
		if a, ok := s.answers[id]; ok {
			f(a)
		}

		if _, ok := s.answers[id]; ok {
			kept = append(kept, id)
		}
	}

	s.order = kept
}

func (s *Store) sweep(now time.Time) {
	s.sweepAt = now.Add(s.Policy.SweepEvery)
	s.forAll(func(a *keptAnswer) {
		if s.expired(now, a) {
			delete(s.answers, a.request.ID)

			return
		}

		s.check(now, a)
	})
}

// expired tells whether an answer is past its retention. One that never ended,
// as its owner was lost, goes the retention after its deadline.
func (s *Store) expired(now time.Time, a *keptAnswer) bool {
	from := a.request.Deadline
	if a.end != nil {
		from = a.endedAt
	}

	return !from.IsZero() && now.Sub(from) >= s.Policy.Retention
}

func (s *Store) check(now time.Time, a *keptAnswer) {
	switch a.role {
	case roleOwner:
		s.repair(now, a)
		s.tryHandOff(now, a)
	case roleHandedOff:
		s.sendHandOff(a)
	case roleCopy:
		if !a.takeoverAt.IsZero() && !now.Before(a.takeoverAt) {
			s.takeOver(now, a)

			return
		}

		s.probe(now, a)
	}
}

func (s *Store) onMembers(now time.Time, a *keptAnswer) {
	if a.role == roleOwner {
		s.dropDead(a)
		s.recruit(now, a)
		s.release(a)
		s.expose(a)
		s.tryHandOff(now, a)

		return
	}

	if a.role == roleHandedOff {
		s.dropDead(a)

		// The heir died before it took over.
		if len(a.holders) == 0 {
			s.takeOver(now, a)
		}

		return
	}

	if s.isLive(a.epoch.Owner, a.epoch.Incarnation) {
		a.takeoverAt = time.Time{}

		return
	}

	s.planTakeover(now, a)
}

func (s *Store) isLive(id fleet.InstanceID, incarnation fleet.Incarnation) bool {
	if id == s.Self.ID {
		return incarnation == s.Self.Incarnation
	}

	m, ok := s.live[id]

	return ok && m.Incarnation == incarnation
}

func (s *Store) dropDead(a *keptAnswer) {
	a.holders = slices.DeleteFunc(a.holders, func(h holder) bool {
		return !s.isLive(h.id, h.incarnation)
	})
}

// planTakeover makes the first live copy take over at once. The others wait
// for it a while each, in case it has no copy after all.
func (s *Store) planTakeover(now time.Time, a *keptAnswer) {
	position := 0

	for i := range a.holders {
		id := a.holders[i].id
		if id == s.Self.ID {
			break
		}

		if m, ok := s.live[id]; ok && !m.Leaving {
			position++
		}
	}

	// One that is leaving itself lets all others go first.
	if s.leaving {
		position += len(a.holders)
	}

	at := now.Add(time.Duration(position) * s.Policy.TakeoverGrace)
	if a.takeoverAt.IsZero() || at.Before(a.takeoverAt) {
		a.takeoverAt = at
	}

	if position == 0 {
		s.takeOver(now, a)
	}
}

// takeOver makes this instance the owner, under a newer epoch.
func (s *Store) takeOver(now time.Time, a *keptAnswer) {
	s.counts.Takeovers++
	former := append(a.holderIDs(), a.epoch.Owner)
	a.epoch = Epoch{Number: a.epoch.Number + 1, Owner: s.Self.ID, Incarnation: s.Self.Incarnation}
	a.role = roleOwner
	a.stale = false
	a.lost = false
	a.takeoverAt = time.Time{}
	a.holders = nil

	if a.end == nil && a.floor > len(a.tokens) {
		s.refusePrefix(now, a)
	}

	a.former = former
	s.keepFormer(now, a)
	s.recruit(now, a)
	s.expose(a)

	if a.end == nil {
		s.emit(Continue{Request: a.request, Epoch: a.epoch, Kept: slices.Clone(a.tokens)})
	}

	s.tryHandOff(now, a)
}

// keepFormer gives the copies of the earlier epoch the first places, as they
// lack the least.
func (s *Store) keepFormer(now time.Time, a *keptAnswer) {
	for _, id := range a.former {
		m, ok := s.live[id]
		if !ok || m.Leaving || m.Domain == s.Self.Domain || a.holderOf(id) != nil {
			continue
		}

		if len(a.holders) < s.Policy.Copies {
			a.holders = append(a.holders, newHolder(now, m))
		}
	}

	for i := range a.holders {
		s.sendBegin(now, a, &a.holders[i])
	}
}

// releaseFormer makes the instances that may have a copy, and are no holders,
// drop it. Those that are not live are told once they are.
func (s *Store) releaseFormer(a *keptAnswer) {
	a.former = slices.DeleteFunc(a.former, func(id fleet.InstanceID) bool {
		if id == s.Self.ID || a.holderOf(id) != nil {
			return true
		}

		_, live := s.live[id]
		if live {
			s.tellReleased(a, id)
		}

		return live
	})
}

// refusePrefix ends a request whose tokens a caller may have seen beyond what
// is kept: another text might follow.
func (s *Store) refusePrefix(now time.Time, a *keptAnswer) {
	s.counts.PrefixLost++
	a.end = &Ending{
		Tokens:  len(a.tokens),
		Refusal: &GiveUp{Reason: ReasonPrefix, Ran: PartlyRan, RetryAfter: s.Policy.RetryAfter},
	}
	a.endedAt = now
}

// tryHandOff passes an answer to a copy that has all of it, if this instance
// is leaving.
func (s *Store) tryHandOff(now time.Time, a *keptAnswer) {
	if !s.leaving || a.role != roleOwner {
		return
	}

	h := s.heir(a)
	if h == nil {
		return
	}

	s.sendAppend(now, a, h)
	a.role = roleHandedOff
	a.holders = []holder{*h}
	s.emit(Stop{ID: a.request.ID, Epoch: a.epoch})
	s.sendHandOff(a)
}

func (s *Store) heir(a *keptAnswer) *holder {
	for i := range a.holders {
		h := &a.holders[i]
		if m, ok := s.live[h.id]; ok && !m.Leaving && h.begun {
			return h
		}
	}

	return nil
}

func (s *Store) sendHandOff(a *keptAnswer) {
	if len(a.holders) == 0 {
		return
	}

	b := s.box.to(a.holders[0].id)
	b.HandOffs = append(b.HandOffs, HandOff{ID: a.request.ID, Epoch: a.epoch})
}
