package answer

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// recruit gives an answer as many copies as it should have, in failure domains
// other than this one and as far as possible in different ones.
func (s *Store) recruit(now time.Time, a *keptAnswer) {
	added := false

	for s.lasting(a) < s.Policy.Copies {
		m, ok := s.candidate(a)
		if !ok {
			break
		}

		a.holders = append(a.holders, newHolder(now, m))
		added = true
	}

	if !added {
		return
	}

	s.tellHolders(a)

	for i := range a.holders {
		if !a.holders[i].begun && a.holders[i].waitingSince.IsZero() {
			s.sendBegin(now, a, &a.holders[i])
		}
	}
}

// lasting counts the holders that are not about to leave.
func (s *Store) lasting(a *keptAnswer) int {
	n := 0

	for i := range a.holders {
		if m, ok := s.live[a.holders[i].id]; ok && !m.Leaving {
			n++
		}
	}

	return n
}

// candidate returns the best instance for one more copy: one in this region,
// since a caller waits for its acknowledgement, and in a failure domain that
// has no copy yet.
func (s *Store) candidate(a *keptAnswer) (Member, bool) {
	var best Member

	bestFit := 0

	for _, m := range rank(a.request.ID, s.members) {
		if fit := s.fit(a, m); fit > bestFit {
			best, bestFit = m, fit
		}
	}

	return best, bestFit > 0
}

// fit returns how well an instance suits for one more copy; 0 is not at all.
func (s *Store) fit(a *keptAnswer, m Member) int {
	if m.Leaving || m.Domain == s.Self.Domain || a.holderOf(m.ID) != nil {
		return 0
	}

	fit := 1

	if m.Region == s.Self.Region {
		fit += 2
	}

	if !a.holdsIn(m.Domain) {
		fit++
	}

	return fit
}

func (a *keptAnswer) holdsIn(d fleet.FailureDomain) bool {
	return slices.ContainsFunc(a.holders, func(h holder) bool { return h.domain == d })
}

func (s *Store) sendBegin(now time.Time, a *keptAnswer, h *holder) {
	b := s.box.to(h.id)
	b.Begins = append(b.Begins, Begin{
		Request: a.request,
		Epoch:   a.epoch,
		Holders: a.successors(),
		Tokens:  slices.Clone(a.tokens),
		Visible: a.floor,
		End:     a.end,
	})
	h.sent = len(a.tokens)
	h.sentEnd = a.end != nil
	h.waitingSince = now
}

func (s *Store) tellHolders(a *keptAnswer) {
	for i := range a.holders {
		if !a.holders[i].begun {
			continue
		}

		s.tellSuccessors(a, a.holders[i].id)
	}
}

func (s *Store) tellSuccessors(a *keptAnswer, id fleet.InstanceID) {
	b := s.box.to(id)
	b.Holders = append(b.Holders, Holders{ID: a.request.ID, Epoch: a.epoch, Holders: a.successors()})
}

// flush sends the copies what they lack.
func (s *Store) flush(now time.Time) {
	for _, id := range s.dirty {
		a, ok := s.answers[id]
		if !ok {
			continue
		}

		a.dirty = false

		if a.role != roleOwner {
			continue
		}

		for i := range a.holders {
			s.sendAppend(now, a, &a.holders[i])
		}
	}

	s.dirty = s.dirty[:0]
	s.pending = 0
}

func (s *Store) sendAppend(now time.Time, a *keptAnswer, h *holder) {
	hasEnd := a.end != nil && !h.sentEnd
	if !h.begun || (h.sent == len(a.tokens) && !hasEnd) {
		return
	}

	m := Append{
		ID:      a.request.ID,
		Epoch:   a.epoch,
		Offset:  h.sent,
		Tokens:  slices.Clone(a.tokens[h.sent:]),
		Visible: a.floor,
		End:     a.end,
	}
	b := s.box.to(h.id)
	b.Appends = append(b.Appends, m)
	h.sent = len(a.tokens)
	h.sentEnd = a.end != nil

	if h.waitingSince.IsZero() {
		h.waitingSince = now
		h.askedSince = now
	}
}

func (s *Store) onAck(now time.Time, from fleet.InstanceID, m Ack) {
	a := s.owned(m.ID, m.Epoch)
	if a == nil {
		s.onOldAck(from, m)

		return
	}

	h := a.holderOf(from)
	if h == nil {
		s.onFormerAck(a, from)

		return
	}

	if !m.Begun {
		h.begun, h.acked, h.ended = false, 0, false
		s.sendBegin(now, a, h)

		return
	}

	first := !h.begun
	h.begun = true
	h.acked = min(m.Offset, len(a.tokens))
	h.ended = m.Ended
	h.waitingSince = time.Time{}
	h.askedSince = now

	if h.acked < h.sent {
		h.waitingSince = now
	}

	if first {
		s.onFirstAck(now, a, h)
	}

	if m.Probe {
		s.answerProbe(a, from)
	}

	s.expose(a)
	s.release(a)
	s.tryHandOff(now, a)
}

// onFormerAck lets go of a copy that is no holder, or notes it until release can.
func (s *Store) onFormerAck(a *keptAnswer, from fleet.InstanceID) {
	if s.protected(a) {
		s.tellReleased(a, from)
	} else {
		a.addFormer(from)
	}
}

// onOldAck handles a copy of an earlier epoch: it is told of the newer one, and let
// go of once that is protected.
func (s *Store) onOldAck(from fleet.InstanceID, m Ack) {
	a, ok := s.answers[m.ID]
	if !ok || !m.Probe || !a.epoch.Newer(m.Epoch) {
		return
	}

	if a.role == roleOwner && a.holderOf(from) == nil {
		s.onFormerAck(a, from)
	}

	s.refuseOld(from, a)
}

func (s *Store) answerProbe(a *keptAnswer, to fleet.InstanceID) {
	b := s.box.to(to)
	b.Appends = append(b.Appends, Append{
		ID: a.request.ID, Epoch: a.epoch, Offset: len(a.tokens), Visible: a.floor,
	})
}

func (s *Store) onFirstAck(now time.Time, a *keptAnswer, h *holder) {
	if !a.accepted {
		a.accepted = true
		s.emit(Accepted{ID: a.request.ID})
	}

	if s.behindSent(a, h) {
		s.sendAppend(now, a, h)
	}
}

func (s *Store) behindSent(a *keptAnswer, h *holder) bool {
	return h.sent < len(a.tokens) || (a.end != nil && !h.sentEnd)
}

// protected tells whether as many holders as there should be have all that a
// caller may have seen, and stay. Until then any other copy may be the only one
// that could go on with the answer.
func (s *Store) protected(a *keptAnswer) bool {
	ready := 0

	for i := range a.holders {
		h := &a.holders[i]
		if m, ok := s.live[h.id]; ok && !m.Leaving && h.begun && h.acked >= a.floor {
			ready++
		}
	}

	return ready >= s.Policy.Copies
}

// release lets go of holders that are leaving, and of copies at instances that
// are no holders, once the others protect the answer.
func (s *Store) release(a *keptAnswer) {
	if !s.protected(a) {
		return
	}

	s.releaseFormer(a)

	kept := make([]holder, 0, len(a.holders))

	var released []fleet.InstanceID

	for i := range a.holders {
		if m, ok := s.live[a.holders[i].id]; ok && !m.Leaving {
			kept = append(kept, a.holders[i])
		} else {
			released = append(released, a.holders[i].id)
		}
	}

	if len(released) == 0 {
		return
	}

	a.holders = kept
	s.tellHolders(a)

	for _, id := range released {
		s.tellReleased(a, id)
	}
}

// tellReleased makes an instance drop its copy. One that kept it would take
// over with an old text when the owner goes.
func (s *Store) tellReleased(a *keptAnswer, id fleet.InstanceID) {
	b := s.box.to(id)
	b.Holders = append(b.Holders, Holders{ID: a.request.ID, Epoch: a.epoch, Holders: a.holderIDs()})
}

// repair sends again what got no answer and replaces a holder that is silent.
func (s *Store) repair(now time.Time, a *keptAnswer) {
	for i := range a.holders {
		h := &a.holders[i]
		if !a.behind(h) {
			continue
		}

		if now.Sub(h.askedSince) >= s.Policy.ReplaceAfter && s.replace(now, a, h) {
			continue
		}

		if now.Sub(h.waitingSince) >= s.Policy.ResendAfter {
			s.resend(now, a, h)
		}
	}

	s.recruit(now, a)
	s.expose(a)
}

// replace puts another peer in a silent holder's place, if there is one. The
// holder stays otherwise: tokens that no copy has would be shown, and a holder
// that comes back could contradict them. It keeps its copy, and takes over last,
// until release finds that the new holder has the answer.
func (s *Store) replace(now time.Time, a *keptAnswer, h *holder) bool {
	m, ok := s.candidate(a)
	if !ok {
		return false
	}

	s.counts.Replaced++
	silent := h.id
	a.addFormer(silent)
	*h = newHolder(now, m)
	s.sendBegin(now, a, h)
	s.tellHolders(a)
	s.tellSuccessors(a, silent)

	return true
}

func (s *Store) resend(now time.Time, a *keptAnswer, h *holder) {
	if !h.begun {
		s.sendBegin(now, a, h)

		return
	}

	h.sent = h.acked
	h.sentEnd = false
	s.sendAppend(now, a, h)
	h.waitingSince = now
}
