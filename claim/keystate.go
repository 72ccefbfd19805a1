package claim

import "time"

// keyState is what the records say of one key. It depends on nothing but the
// records, so that all entry instances agree; heldUntil is the exception.
type keyState struct {
	// lastRecord is the log's time of the key's last record, in nanoseconds.
	lastRecord int64
	// blockedUntil is when attempts are admitted again after a void.
	blockedUntil int64
	attempt      AttemptID
	outcome      *outcome
	digest       Digest
	generation   uint32
	claimant     uint32
	phase        keyPhase
	// uncertain is set if the key may have records that aged out before this
	// instance could read them. It may not be claimed.
	uncertain bool
}

// applyClaim takes a claim and tells whether it is the valid one.
func (s *keyState) applyClaim(c claimRecord, by uint32) bool {
	if s.uncertain {
		s.applyUncertainClaim(c, by)

		return false
	}

	if s.phase != keyFree || c.Generation != s.generation {
		return false
	}

	s.phase = keyClaimed
	s.claimant = by
	s.attempt = c.Request
	s.digest = c.Digest

	return true
}

// applyUncertainClaim keeps the latest claim of an uncertain key, to tell whom to wait for.
func (s *keyState) applyUncertainClaim(c claimRecord, by uint32) {
	if s.phase == keyCompleted {
		return
	}

	s.phase = keyClaimed
	s.claimant = by
	s.attempt = c.Request
	s.digest = c.Digest
	s.generation = c.Generation
}

// applyVoid ends the present generation, if the claimant itself says so.
func (s *keyState) applyVoid(v voidRecord, by uint32) bool {
	byClaimant := s.claimant == by && s.attempt == v.Request && s.generation == v.Generation
	if s.uncertain || s.phase != keyClaimed || !byClaimant {
		return false
	}

	s.phase = keyFree
	s.generation++

	return true
}

// applyOutcome takes the outcome of the claimant's call.
func (s *keyState) applyOutcome(o outcomeRecord, by uint32) bool {
	byClaimant := s.claimant == by && s.attempt == o.Request && s.generation == o.Generation
	if s.phase == keyCompleted || (!s.uncertain && (s.phase != keyClaimed || !byClaimant)) {
		return false
	}

	s.phase = keyCompleted
	s.claimant = by
	s.attempt = o.Request
	s.digest = o.Digest
	s.outcome = newOutcome(o)

	return true
}

func (s *keyState) expired(at time.Time, window time.Duration) bool {
	return at.UnixNano()-s.lastRecord > int64(window)
}
