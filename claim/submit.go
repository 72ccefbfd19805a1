package claim

import "time"

// Submit takes an attempt.
func (t *Table) Submit(now time.Time, r Request) []Command {
	a := &attempt{
		id:       r.id,
		key:      r.key.ID(),
		digest:   r.digest,
		deadline: earlier(r.deadline, now.Add(t.config.MaxWait)),
		claimBy:  now.Add(t.config.ClaimWait),
		phase:    attemptClaiming,
	}

	if told, ok := r.key.Time(); ok && !told.After(now.Add(t.config.MaxSkew)) {
		a.keyTime = told
	}

	if t.keyExpired(a, now) {
		return []Command{Answer{request: a.id, verdict: refusal(KeyExpired, ReasonNone, 0)}}
	}

	if len(t.attempts) >= t.config.MaxOpen {
		return []Command{Answer{request: a.id, verdict: refusal(NotStarted, ReasonOverloaded, t.config.RetryAfter)}}
	}

	t.attempts[a.id] = a
	t.order = append(t.order, a)

	return t.enter(now, a)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// keyExpired tells whether a key that tells its time may have been forgotten.
func (t *Table) keyExpired(a *attempt, at time.Time) bool {
	return !a.keyTime.IsZero() && at.After(a.keyTime.Add(t.config.Window-t.config.MaxSkew))
}

// enter finds out what an attempt that isn't sent has to wait for.
func (t *Table) enter(now time.Time, a *attempt) []Command {
	if !a.deadline.After(now) {
		return []Command{t.answer(a, refusal(NotStarted, ReasonDeadline, t.config.RetryAfter))}
	}

	if owner := t.owners[a.key]; owner != nil {
		return t.enterOwned(a, owner)
	}

	if state := t.current(now, a.key); state != nil {
		if commands, final := t.enterKnown(now, a, state); final {
			return commands
		}
	} else if a.admitted && a.generation != 0 {
		return []Command{t.answer(a, refusal(NotStarted, ReasonVoided, t.config.RetryAfter))}
	}

	a.admitted = true

	if pending := t.pending[a.key]; pending != nil && pending != a {
		if pending.digest != a.digest {
			return []Command{t.answer(a, refusal(KeyReused, ReasonNone, 0))}
		}

		t.join(a)

		return nil
	}

	return t.claim(now, a)
}

// enterOwned lets an attempt wait for one of this instance that won the key.
func (t *Table) enterOwned(a, owner *attempt) []Command {
	if owner.digest != a.digest {
		return []Command{t.answer(a, refusal(KeyReused, ReasonNone, 0))}
	}

	switch owner.phase {
	case attemptEnded:
		return []Command{t.answer(a, owner.outcome.verdict())}
	case attemptVoiding:
		return []Command{t.answer(a, refusal(NotStarted, owner.reason, t.config.RetryAfter))}
	default:
		t.join(a)

		return nil
	}
}

// current returns the state of a key, or nil if it has none or it is so old
// that a claim made now would not find it.
func (t *Table) current(now time.Time, key KeyID) *keyState {
	state := t.keys[key]
	if state == nil || state.expired(t.logTime, t.config.Window) {
		return nil
	}

	if state.expired(now, t.config.Window+t.config.MaxSkew) {
		return nil
	}

	return state
}

// enterKnown tells what the records say to an attempt; it isn't final if the
// key may be claimed.
func (t *Table) enterKnown(now time.Time, a *attempt, state *keyState) ([]Command, bool) {
	final := func(v Verdict) ([]Command, bool) {
		return []Command{t.answer(a, v)}, true
	}

	if state.phase != keyFree && state.digest != a.digest {
		return final(refusal(KeyReused, ReasonNone, 0))
	}

	switch {
	case state.phase == keyEnded:
		return final(state.outcome.verdict())
	case state.phase == keyClaimed && t.claimants.gone[state.claimant]:
		return final(refusal(Unknown, ReasonClaimantGone, t.config.OutageRetry))
	case state.phase == keyClaimed && t.down:
		return final(refusal(Unknown, ReasonLogDown, t.config.OutageRetry))
	case state.phase == keyClaimed && !state.uncertain:
		if t.pending[a.key] == a {
			delete(t.pending, a.key)
		}

		t.join(a)

		return nil, true
	case state.uncertain:
		return final(refusal(Unknown, ReasonUncertain, t.config.OutageRetry))
	}

	if held := time.Duration(state.heldUntil - now.UnixNano()); held > 0 {
		return final(refusal(NotStarted, ReasonVoided, held))
	}

	if a.admitted && a.generation != state.generation {
		return final(refusal(NotStarted, ReasonVoided, t.config.RetryAfter))
	}

	a.generation = state.generation

	return nil, false
}

// claim appends the claim of an attempt.
func (t *Table) claim(now time.Time, a *attempt) []Command {
	switch {
	case t.down:
		return t.giveUp(a, ReasonLogDown, t.config.OutageRetry)
	case !t.caughtUp || now.Before(t.since.Add(t.config.Window)):
		return t.giveUp(a, ReasonNotReady, t.config.RetryAfter)
	}

	a.phase = attemptClaiming
	t.pending[a.key] = a

	return []Command{appendOf(KindClaim, a.id, claimRecord{
		Key:        a.key,
		Generation: a.generation,
		Request:    a.id,
		Digest:     a.digest,
	})}
}
