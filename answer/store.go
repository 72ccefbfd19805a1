package answer

import (
	"time"

	"monsoonlever/fleet"
)

// Store is the step machine of the answers that an entry instance keeps: those
// it owns, and copies of those that other instances own. The exported fields
// are set before the first step.
//
// A caller reads only tokens that every present copy has acknowledged. So a
// copy that takes over never lacks a token that a caller has seen.
type Store struct {
	Self   Member
	Policy StorePolicy

	members []Member
	live    map[fleet.InstanceID]Member
	answers map[RequestID]*keptAnswer
	order   []RequestID
	dirty   []RequestID
	pending int
	flushAt time.Time
	sweepAt time.Time
	leaving bool
	box     outbox
	out     []StoreCommand
	counts  StoreCounts
}

// Accept takes a request that this instance answers. Accepted follows once a
// copy in another failure domain has it.
func (s *Store) Accept(now time.Time, r Request) []StoreCommand {
	s.begin(now)

	if _, known := s.answers[r.ID]; known {
		return s.finish()
	}

	a := &keptAnswer{
		request: r,
		epoch:   Epoch{Owner: s.Self.ID, Incarnation: s.Self.Incarnation},
		role:    roleOwner,
	}
	s.add(a)
	s.recruit(now, a)

	return s.finish()
}

// Token takes the next token of an answer from the attempt of an epoch.
func (s *Store) Token(now time.Time, id RequestID, epoch Epoch, offset int, token string) []StoreCommand {
	s.begin(now)

	a := s.owned(id, epoch)
	if a == nil || a.end != nil || offset != len(a.tokens) {
		return s.finish()
	}

	a.tokens = append(a.tokens, token)
	s.changed(now, a)

	if s.pending >= s.Policy.FlushTokens {
		s.flush(now)
	}

	return s.finish()
}

// End takes the end of an answer from the attempt of an epoch.
func (s *Store) End(now time.Time, id RequestID, epoch Epoch, end Ending) []StoreCommand {
	s.begin(now)

	a := s.owned(id, epoch)
	if a == nil || a.end != nil {
		return s.finish()
	}

	end.Tokens = len(a.tokens)
	a.end = &end
	a.endedAt = now
	s.changed(now, a)
	s.flush(now)

	return s.finish()
}

// Tick says that time has passed.
func (s *Store) Tick(now time.Time) []StoreCommand {
	s.begin(now)

	if !now.Before(s.flushAt) {
		s.flush(now)
	}

	if !now.Before(s.sweepAt) {
		s.sweep(now)
	}

	return s.finish()
}

// Wake returns the time at which the Store wants a Tick.
func (s *Store) Wake() time.Time {
	if len(s.dirty) > 0 && s.flushAt.Before(s.sweepAt) {
		return s.flushAt
	}

	return s.sweepAt
}

// Counts returns what the Store holds and did.
func (s *Store) Counts() StoreCounts {
	c := s.counts
	c.Answers = len(s.answers)

	return c
}

// Owns tells whether this instance answers a request at present.
func (s *Store) Owns(id RequestID) bool {
	a, ok := s.answers[id]

	return ok && a.role == roleOwner
}

func (s *Store) begin(now time.Time) {
	if s.answers == nil {
		s.answers = make(map[RequestID]*keptAnswer)
		s.box.from = s.Self.ID
		s.sweepAt = now.Add(s.Policy.SweepEvery)
	}

	s.out = nil
}

func (s *Store) finish() []StoreCommand { return s.box.drain(s.out) }

func (s *Store) emit(c StoreCommand) { s.out = append(s.out, c) }

func (s *Store) add(a *keptAnswer) {
	if _, known := s.answers[a.request.ID]; !known {
		s.order = append(s.order, a.request.ID)
	}

	s.answers[a.request.ID] = a
}

func (s *Store) owned(id RequestID, epoch Epoch) *keptAnswer {
	a, ok := s.answers[id]
	if !ok || a.role != roleOwner || a.epoch != epoch {
		return nil
	}

	return a
}

// changed notes that the copies of an answer lack something.
func (s *Store) changed(now time.Time, a *keptAnswer) {
	s.pending++

	if len(a.holders) == 0 {
		s.expose(a)

		return
	}

	if a.dirty {
		return
	}

	if len(s.dirty) == 0 {
		s.flushAt = now.Add(s.Policy.FlushAfter)
	}

	a.dirty = true
	s.dirty = append(s.dirty, a.request.ID)
}

func (s *Store) expose(a *keptAnswer) {
	moved := a.expose()
	ended := a.end != nil && a.visible == a.end.Tokens

	if moved || ended {
		s.emit(Visible{ID: a.request.ID})
	}

	if moved && len(a.holders) == 0 {
		s.counts.Unprotected++
	}
}
