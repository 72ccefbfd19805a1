package claim

import "time"

// keyState is what the records say of one key. It depends on nothing but the
// records, so that all entry instances agree; heldUntil is the exception.
type keyState struct {
	// touched is the log's time of the key's last record, in nanoseconds.
	touched int64
	// heldUntil is when attempts are admitted again after a void.
	heldUntil  int64
	request    RequestID
	outcome    *outcome
	digest     Digest
	generation uint32
	claimant   uint32
	phase      keyPhase
	// uncertain is set if the key may have records that aged out before this
	// instance could read them. It may not be claimed.
	uncertain bool
}

// offer takes a claim and tells whether it is the valid one.
func (s *keyState) offer(c claimRecord, by uint32) bool {
	if s.uncertain {
		s.suspect(c, by)

		return false
	}

	if s.phase != keyFree || c.Generation != s.generation {
		return false
	}

	s.phase = keyClaimed
	s.claimant = by
	s.request = c.Request
	s.digest = c.Digest

	return true
}

// suspect keeps the latest claim of an uncertain key, to tell whom to wait for.
func (s *keyState) suspect(c claimRecord, by uint32) {
	if s.phase == keyEnded {
		return
	}

	s.phase = keyClaimed
	s.claimant = by
	s.request = c.Request
	s.digest = c.Digest
	s.generation = c.Generation
}

// void ends the present generation, if the claimant itself says so.
func (s *keyState) void(v voidRecord, by uint32) bool {
	mine := s.claimant == by && s.request == v.Request && s.generation == v.Generation
	if s.uncertain || s.phase != keyClaimed || !mine {
		return false
	}

	s.phase = keyFree
	s.generation++

	return true
}

// end takes the outcome of the claimant's call.
func (s *keyState) end(o outcomeRecord, by uint32) bool {
	mine := s.claimant == by && s.request == o.Request && s.generation == o.Generation
	if s.phase == keyEnded || (!s.uncertain && (s.phase != keyClaimed || !mine)) {
		return false
	}

	s.phase = keyEnded
	s.claimant = by
	s.request = o.Request
	s.digest = o.Digest
	s.outcome = newOutcome(o)

	return true
}

func (s *keyState) expired(at time.Time, window time.Duration) bool {
	return at.UnixNano()-s.touched > int64(window)
}
