package answer

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Receive takes a batch from a peer.
func (s *Store) Receive(now time.Time, b *Batch) []StoreCommand {
	s.begin(now)

	for i := range b.Begins {
		s.onBegin(now, b.From, b.Begins[i])
	}

	for i := range b.Appends {
		s.onAppend(now, b.From, b.Appends[i])
	}

	for i := range b.Holders {
		s.onHolders(b.Holders[i])
	}

	for i := range b.HandOffs {
		s.onHandOff(now, b.From, b.HandOffs[i])
	}

	for i := range b.Superseded {
		s.onSuperseded(b.Superseded[i])
	}

	for i := range b.Acks {
		s.onAck(now, b.From, b.Acks[i])
	}

	for i := range b.Fetches {
		s.onFetch(now, b.From, b.Fetches[i])
	}

	for i := range b.Followed {
		s.onFollowed(b.Followed[i])
	}

	for i := range b.Fetched {
		s.emit(FetchReply{From: b.From, Fetched: b.Fetched[i]})
	}

	return s.finish()
}

func (s *Store) onBegin(now time.Time, from fleet.InstanceID, m Begin) {
	old, known := s.answers[m.Request.ID]

	if known && old.epoch.Newer(m.Epoch) {
		s.refuseOld(from, old)

		return
	}

	if known && old.epoch != m.Epoch && old.contradicts(m) {
		s.defend(now, from, old, m.Epoch)

		return
	}

	if known && old.epoch == m.Epoch {
		s.extend(now, old, Append{Tokens: m.Tokens, Visible: m.Visible, End: m.End})
		s.setHolders(old, m.Holders)
		s.ack(from, old)

		return
	}

	a := &keptAnswer{request: m.Request, epoch: m.Epoch, role: roleCopy, accepted: true}

	if known {
		a.floor = old.floor
		s.stopOwning(old, m.Epoch)
	}

	s.add(a)
	s.extend(now, a, Append{Tokens: m.Tokens, Visible: m.Visible, End: m.End})
	s.setHolders(a, m.Holders)
	s.ack(from, a)
}

// contradicts tells whether a newer owner lacks what callers have seen here,
// while they have seen less of its own text. That comes of a copy that took
// over although it was out of date.
func (a *keptAnswer) contradicts(m Begin) bool {
	if a.floor <= m.Visible || a.end != nil && a.end.Refusal != nil {
		return false
	}

	n := min(a.floor, len(a.tokens))
	if n > len(m.Tokens) {
		return true
	}

	return DigestOf(a.tokens[:n]) != DigestOf(m.Tokens[:n])
}

// defend keeps the text that callers have seen: this instance takes an epoch that
// is newer still, and the other one learns of it. A copy does so only if it has
// the whole answer or its owner is gone, and says nothing otherwise, so that it is
// not counted as a copy of the other text.
func (s *Store) defend(now time.Time, from fleet.InstanceID, a *keptAnswer, against Epoch) {
	if a.role != roleOwner && a.end == nil && s.isLive(a.epoch.Owner, a.epoch.Incarnation) {
		return
	}

	if a.role == roleOwner {
		s.emit(Stop{ID: a.request.ID, Epoch: a.epoch})
	}

	a.epoch = against
	s.takeOver(now, a)
	s.refuseOld(from, a)
}

// stopOwning ends the ownership that this instance may have had.
func (s *Store) stopOwning(a *keptAnswer, by Epoch) {
	if a.role == roleOwner {
		s.counts.Superseded++
		s.emit(Stop{ID: a.request.ID, Epoch: a.epoch})
	}

	if a.epoch != by {
		s.emit(Visible{ID: a.request.ID})
	}
}

func (s *Store) onAppend(now time.Time, from fleet.InstanceID, m Append) {
	a, known := s.answers[m.ID]

	if known && a.epoch.Newer(m.Epoch) {
		s.refuseOld(from, a)

		return
	}

	if !known || a.epoch != m.Epoch || a.role == roleOwner {
		b := s.box.to(from)
		b.Acks = append(b.Acks, Ack{ID: m.ID, Epoch: m.Epoch})

		return
	}

	s.extend(now, a, m)
	s.ack(from, a)
}

// extend adds the tokens that a copy lacks. Tokens after a gap are left out;
// the acknowledgement tells the owner where to go on.
func (s *Store) extend(now time.Time, a *keptAnswer, m Append) {
	have := len(a.tokens)

	if m.Offset <= have && m.Offset+len(m.Tokens) > have {
		a.tokens = append(a.tokens, m.Tokens[have-m.Offset:]...)
	}

	a.floor = max(a.floor, m.Visible)
	a.takeoverAt = time.Time{}
	a.heard(now)

	if visible := min(m.Visible, len(a.tokens)); visible > a.visible {
		a.visible = visible
		s.emit(Visible{ID: a.request.ID})
	}

	if m.End == nil || a.end != nil || m.End.Tokens != len(a.tokens) {
		return
	}

	// An end is shown with all its tokens: it has been acknowledged here, and
	// the owner waits for just that.
	a.end = m.End
	a.endedAt = now
	a.visible = len(a.tokens)
	a.floor = max(a.floor, a.visible)
	s.emit(Visible{ID: a.request.ID})
}

func (a *keptAnswer) heard(now time.Time) {
	a.heardAt = now
	a.stale = false
	a.lost = false
}

// probe asks an owner that has been silent for long whether this instance is
// to hold a copy still. A copy that was replaced while it could not be reached
// would keep its readers waiting for tokens that never come.
func (s *Store) probe(now time.Time, a *keptAnswer) {
	silent := now.Sub(a.heardAt)
	if a.end != nil || silent < s.Policy.ProbeAfter {
		return
	}

	if silent >= s.Policy.StaleAfter && !a.stale {
		a.stale = true
		s.emit(Visible{ID: a.request.ID})
	}

	if silent >= s.Policy.LostAfter && !a.lost {
		a.lost = true
		s.emit(Visible{ID: a.request.ID})
	}

	_, live := s.live[a.epoch.Owner]
	if !live || now.Sub(a.probedAt) < s.Policy.ProbeAfter {
		return
	}

	a.probedAt = now
	b := s.box.to(a.epoch.Owner)
	b.Acks = append(b.Acks, Ack{
		ID: a.request.ID, Epoch: a.epoch, Begun: true, Offset: len(a.tokens), Probe: true,
	})
}

func (s *Store) setHolders(a *keptAnswer, ids []fleet.InstanceID) {
	a.holders = a.holders[:0]
	for _, id := range ids {
		a.holders = append(a.holders, holder{id: id})
	}
}

func (s *Store) ack(to fleet.InstanceID, a *keptAnswer) {
	b := s.box.to(to)
	b.Acks = append(b.Acks, Ack{
		ID: a.request.ID, Epoch: a.epoch, Begun: true, Offset: len(a.tokens), Ended: a.end != nil,
	})
}

func (s *Store) refuseOld(to fleet.InstanceID, a *keptAnswer) {
	b := s.box.to(to)
	b.Superseded = append(b.Superseded, Superseded{ID: a.request.ID, Epoch: a.epoch})
}

// onHolders updates the order of takeover, or drops a copy that is not needed
// any longer.
func (s *Store) onHolders(m Holders) {
	a, ok := s.answers[m.ID]
	if !ok || a.epoch.Newer(m.Epoch) {
		return
	}

	if !slices.Contains(m.Holders, s.Self.ID) {
		s.drop(a, m.Epoch)

		return
	}

	if a.epoch == m.Epoch && a.role == roleCopy {
		s.setHolders(a, m.Holders)
	}
}

// drop forgets an answer that others hold under a newer epoch.
func (s *Store) drop(a *keptAnswer, by Epoch) {
	if a.role == roleOwner && a.epoch == by {
		return
	}

	s.stopOwning(a, by)
	delete(s.answers, a.request.ID)
	s.emit(Visible{ID: a.request.ID})
}

// onSuperseded stops an owner that was replaced while it was paused or cut off,
// and a copy of its epoch. The newer owner may be the only other instance that has
// the answer, so it is kept here until that owner lets go of it.
func (s *Store) onSuperseded(m Superseded) {
	a, ok := s.answers[m.ID]
	if !ok || !m.Epoch.Newer(a.epoch) {
		return
	}

	if m.Epoch.Number == 0 {
		s.drop(a, m.Epoch)

		return
	}

	s.retire(a, m.Epoch)
}

// retire turns an answer that a newer owner has into a copy that is neither read nor
// extended, since its text may differ from that owner's. It takes over only when
// the owner dies.
func (s *Store) retire(a *keptAnswer, by Epoch) {
	s.stopOwning(a, by)

	a.role = roleCopy
	a.epoch = Epoch{Number: min(a.epoch.Number, by.Number-1), Owner: by.Owner, Incarnation: by.Incarnation}
	a.stale, a.lost = true, true
	a.takeoverAt = time.Time{}
	a.former = nil
}

func (s *Store) onHandOff(now time.Time, from fleet.InstanceID, m HandOff) {
	a, ok := s.answers[m.ID]
	if !ok {
		return
	}

	if a.epoch.Newer(m.Epoch) {
		s.refuseOld(from, a)

		return
	}

	if a.epoch == m.Epoch && a.role == roleCopy {
		s.takeOver(now, a)
	}
}
