package claim

import "time"

// keyState is the state of one key derived from the records on the log. Apart from
// blockedUntil it depends on the records alone, so that all entry instances agree on it.
type keyState struct {
	// lastRecord is the log's time of the key's last record, in Unix nanoseconds.
	lastRecord int64
	// blockedUntil is the time, in Unix nanoseconds of this instance's clock, until which
	// attempts are rejected after a void.
	blockedUntil int64
	attempt      AttemptID
	outcome      *outcome
	digest       Digest
	generation   uint32
	claimant     uint32
	phase        keyPhase
	// uncertain is set if records of the key may have been deleted from the log before this
	// instance read them. The key can't be claimed then.
	uncertain bool
}

// applyClaim applies a claim and reports whether it is the valid one of its generation.
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

// applyUncertainClaim records the latest claim of an uncertain key, so that attempts with
// the key can be answered when its claimant is removed.
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

// applyVoid ends the current generation if the void comes from its claimant, and reports
// whether it did.
func (s *keyState) applyVoid(v voidRecord, by uint32) bool {
	byClaimant := s.claimant == by && s.attempt == v.Request && s.generation == v.Generation
	if s.uncertain || s.phase != keyClaimed || !byClaimant {
		return false
	}

	s.phase = keyFree
	s.generation++

	return true
}

// applyOutcome stores the outcome of the claimant's call and reports whether it did. For an
// uncertain key any outcome is stored, since its claim may not have been read.
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
