package claim

import "time"

// Submit starts an attempt.
func (t *Table) Submit(now time.Time, s Submission) []Command {
	a := &attempt{
		id:            s.id,
		key:           s.key.ID(),
		digest:        s.digest,
		deadline:      t.deadline(now, s.deadline),
		claimDeadline: now.Add(t.config.ClaimTimeout),
		phase:         attemptClaiming,
	}

	if created, ok := s.key.CreatedAt(); ok && !created.After(now.Add(t.config.MaxSkew)) {
		a.keyCreated = created
	}

	if t.keyExpired(a, now) {
		return []Command{Resolve{attempt: a.id, verdict: verdictWithoutResult(KeyExpired, ReasonNone, 0)}}
	}

	if len(t.attempts) >= t.config.MaxOpenAttempts {
		return []Command{Resolve{attempt: a.id, verdict: verdictWithoutResult(NotStarted, ReasonOverloaded, t.config.RetryAfter)}}
	}

	t.attempts[a.id] = a
	t.order = append(t.order, a)

	return t.admit(now, a)
}

// deadline returns the requested deadline, but at most MaxTimeout from now. A zero deadline
// means MaxTimeout.
func (t *Table) deadline(now, requested time.Time) time.Time {
	longest := now.Add(t.config.MaxTimeout)
	if requested.IsZero() {
		return longest
	}

	return earlier(requested, longest)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// keyExpired reports whether a key with a known creation time may already have been
// evicted.
func (t *Table) keyExpired(a *attempt, at time.Time) bool {
	return !a.keyCreated.IsZero() && at.After(a.keyCreated.Add(t.config.Window-t.config.MaxSkew))
}

// admit resolves an undispatched attempt from the state of its key, lets it join another
// attempt, or appends its claim.
func (t *Table) admit(now time.Time, a *attempt) []Command {
	if !a.deadline.After(now) {
		return []Command{t.resolve(a, verdictWithoutResult(NotStarted, ReasonDeadline, t.config.RetryAfter))}
	}

	if owner := t.owners[a.key]; owner != nil {
		return t.admitOwned(a, owner)
	}

	if state := t.currentState(now, a.key); state != nil {
		if commands, final := t.admitByState(now, a, state); final {
			return commands
		}
	} else if a.admitted && a.generation != 0 {
		return []Command{t.resolve(a, verdictWithoutResult(NotStarted, ReasonVoided, t.config.RetryAfter))}
	}

	a.admitted = true

	if pending := t.pending[a.key]; pending != nil && pending != a {
		if pending.digest != a.digest {
			return []Command{t.resolve(a, verdictWithoutResult(KeyReused, ReasonNone, 0))}
		}

		t.join(a)

		return nil
	}

	return t.claim(now, a)
}

// admitOwned resolves an attempt from an attempt of this instance that won the key, or lets
// it join that attempt.
func (t *Table) admitOwned(a, owner *attempt) []Command {
	if owner.digest != a.digest {
		return []Command{t.resolve(a, verdictWithoutResult(KeyReused, ReasonNone, 0))}
	}

	switch owner.phase {
	case attemptCompleted:
		return []Command{t.resolve(a, owner.outcome.verdict())}
	case attemptVoiding:
		return []Command{t.resolve(a, verdictWithoutResult(NotStarted, owner.reason, t.config.RetryAfter))}
	default:
		t.join(a)

		return nil
	}
}

// currentState returns the state of a key, or nil if the key has none or may expire before
// a claim appended now is read.
func (t *Table) currentState(now time.Time, key KeyID) *keyState {
	state := t.keys[key]
	if state == nil || state.expired(t.logTime, t.config.Window) {
		return nil
	}

	if state.expired(now, t.config.Window+t.config.MaxSkew) {
		return nil
	}

	return state
}

// admitByState resolves an attempt from the state of its key or lets it join the claimant.
// It returns false if the key may be claimed.
func (t *Table) admitByState(now time.Time, a *attempt, state *keyState) ([]Command, bool) {
	final := func(v Verdict) ([]Command, bool) {
		return []Command{t.resolve(a, v)}, true
	}

	if state.phase != keyFree && state.digest != a.digest {
		return final(verdictWithoutResult(KeyReused, ReasonNone, 0))
	}

	switch {
	case state.phase == keyCompleted:
		return final(state.outcome.verdict())
	case state.phase == keyClaimed && t.claimants.removed[state.claimant]:
		return final(verdictWithoutResult(Unknown, ReasonClaimantGone, t.config.OutageRetryAfter))
	case state.phase == keyClaimed && t.down:
		return final(verdictWithoutResult(Unknown, ReasonLogDown, t.config.OutageRetryAfter))
	case state.phase == keyClaimed && !state.uncertain:
		if t.pending[a.key] == a {
			delete(t.pending, a.key)
		}

		t.join(a)

		return nil, true
	case state.uncertain:
		return final(verdictWithoutResult(Unknown, ReasonUncertain, t.config.OutageRetryAfter))
	}

	if remaining := time.Duration(state.blockedUntil - now.UnixNano()); remaining > 0 {
		return final(verdictWithoutResult(NotStarted, ReasonVoided, remaining))
	}

	if a.admitted && a.generation != state.generation {
		return final(verdictWithoutResult(NotStarted, ReasonVoided, t.config.RetryAfter))
	}

	a.generation = state.generation

	return nil, false
}

// claim appends the claim of an attempt, or ends the attempt if the log is unavailable or
// the records read don't cover a full window.
func (t *Table) claim(now time.Time, a *attempt) []Command {
	switch {
	case t.down:
		return t.abort(a, ReasonLogDown, t.config.OutageRetryAfter)
	case !t.caughtUp || now.Before(t.completeSince.Add(t.config.Window)):
		return t.abort(a, ReasonNotReady, t.config.RetryAfter)
	}

	a.phase = attemptClaiming
	t.pending[a.key] = a

	return []Command{newAppend(KindClaim, a.id, claimRecord{
		Key:        a.key,
		Generation: a.generation,
		Request:    a.id,
		Digest:     a.digest,
	})}
}
