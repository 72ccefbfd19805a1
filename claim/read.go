package claim

import (
	"time"

	"monsoonlever/logstream"
)

// Read takes one entry of the log, in the order of the log.
func (t *Table) Read(now time.Time, e logstream.Entry) []Command {
	if e.Time().After(t.logTime) {
		t.logTime = e.Time()
	}

	t.age()

	who := claimant{id: e.Writer(), incarnation: e.Incarnation()}

	var commands []Command

	if before, replaced := t.claimants.succeed(who); replaced {
		commands = t.InstanceGone(before.id, before.incarnation)
	}

	switch e.Kind() {
	case KindClaim:
		return append(commands, t.readClaim(now, e, who)...)
	case KindOutcome:
		return append(commands, t.readOutcome(e, who)...)
	case KindVoid:
		return append(commands, t.readVoid(now, e, who)...)
	default:
		return commands
	}
}

// touch returns the state of a key that a record names. A key whose last
// record is older than the window starts anew. Every record counts as the
// last one, also an invalid one, so that the gaps between a key's records are
// the same for all who read them.
func (t *Table) touch(key KeyID) *keyState {
	state := t.keys[key]
	if state != nil && !state.expired(t.logTime, t.config.Window) {
		state.touched = t.logTime.UnixNano()

		return state
	}

	known := state != nil
	state = &keyState{
		touched:   t.logTime.UnixNano(),
		uncertain: t.logTime.Before(t.since.Add(t.config.Window)),
	}
	t.keys[key] = state

	if !known {
		t.aging.push(agingItem{key: key, touched: state.touched})
	}

	return state
}

// age forgets keys whose window has passed.
func (t *Table) age() {
	for {
		item, ok := t.aging.front()
		if !ok || t.logTime.UnixNano()-item.touched <= int64(t.config.Window) {
			return
		}

		t.aging.pop()

		state := t.keys[item.key]
		if state.expired(t.logTime, t.config.Window) {
			delete(t.keys, item.key)

			continue
		}

		t.aging.push(agingItem{key: item.key, touched: state.touched})
	}
}

func (t *Table) readClaim(now time.Time, e logstream.Entry, who claimant) []Command {
	var c claimRecord
	if err := decode(e.Payload(), &c); err != nil {
		t.badCount++

		return nil
	}

	state := t.touch(c.Key)
	valid := state.offer(c, t.claimants.number(who))

	if who != t.self {
		return nil
	}

	return t.readOwnClaim(now, e, c, valid, state)
}

// readOwnClaim decides on an attempt whose claim is now in effect.
func (t *Table) readOwnClaim(now time.Time, e logstream.Entry, c claimRecord, valid bool, state *keyState) []Command {
	a := t.attempts[c.Request]
	if a == nil {
		return t.voidStray(now, c, valid || state.uncertain)
	}

	if a.phase != attemptClaiming {
		return nil
	}

	delete(t.pending, a.key)

	switch {
	case valid && t.keyExpired(a, e.Time()):
		commands := []Command{t.answer(a, refusal(KeyExpired, ReasonNone, 0))}

		return append(commands, t.voidStray(now, c, true)...)
	case valid && !a.deadline.After(now):
		commands := []Command{t.answer(a, refusal(NotStarted, ReasonDeadline, t.config.RetryAfter))}

		return append(commands, t.voidStray(now, c, true)...)
	case valid:
		a.phase = attemptSent
		t.owners[a.key] = a

		return []Command{Dispatch{request: a.id, deadline: a.deadline}}
	case state.uncertain:
		commands := []Command{t.answer(a, refusal(NotStarted, ReasonUncertain, t.config.OutageRetry))}

		return append(commands, t.voidStray(now, c, true)...)
	default:
		return t.lose(now, a, state)
	}
}

// lose lets an attempt whose claim isn't the valid one join the one that is,
// together with those that waited for it.
func (t *Table) lose(now time.Time, a *attempt, state *keyState) []Command {
	waiting := t.joined[a.key]
	delete(t.joined, a.key)

	var commands []Command

	for _, w := range append([]*attempt{a}, waiting...) {
		if state.phase == keyFree {
			w.phase = attemptClaiming
			commands = append(commands, t.answer(w, refusal(NotStarted, ReasonVoided, t.config.RetryAfter)))

			continue
		}

		w.phase = attemptClaiming
		commands = append(commands, t.enter(now, w)...)
	}

	return commands
}

// voidStray voids a claim of this instance that nobody waits for any more, or
// that must not be sent.
func (t *Table) voidStray(now time.Time, c claimRecord, needed bool) []Command {
	if !needed {
		return nil
	}

	a := &attempt{
		id:         c.Request,
		key:        c.Key,
		digest:     c.Digest,
		generation: c.Generation,
		answered:   true,
		reason:     ReasonDeadline,
	}
	t.attempts[a.id] = a
	t.order = append(t.order, a)
	commands := t.answerJoined(a.key, refusal(NotStarted, a.reason, t.config.RetryAfter))

	return append(commands, t.void(now, a)...)
}

func (t *Table) readOutcome(e logstream.Entry, who claimant) []Command {
	var o outcomeRecord
	if err := decode(e.Payload(), &o); err != nil {
		t.badCount++

		return nil
	}

	state := t.touch(o.Key)
	ended := state.end(o, t.claimants.number(who))

	if a := t.attempts[o.Request]; who == t.self && a != nil && a.phase == attemptEnded {
		t.forget(a)
	}

	if !ended {
		return nil
	}

	return t.answerEnded(o.Key, o.Digest, state.outcome)
}

// answerEnded gives the outcome of a key to those who wait for it.
func (t *Table) answerEnded(key KeyID, digest Digest, o *outcome) []Command {
	var commands []Command

	for _, a := range append([]*attempt(nil), t.joined[key]...) {
		if a.digest != digest {
			commands = append(commands, t.answer(a, refusal(KeyReused, ReasonNone, 0)))

			continue
		}

		commands = append(commands, t.answer(a, o.verdict()))
	}

	return commands
}

func (t *Table) readVoid(now time.Time, e logstream.Entry, who claimant) []Command {
	var v voidRecord
	if err := decode(e.Payload(), &v); err != nil {
		t.badCount++

		return nil
	}

	state := t.touch(v.Key)
	voided := state.void(v, t.claimants.number(who))

	if voided {
		state.heldUntil = now.Add(t.config.VoidHold).UnixNano()
	}

	verdict := refusal(NotStarted, ReasonVoided, t.config.VoidHold)

	var commands []Command

	if a := t.attempts[v.Request]; who == t.self && a != nil && a.phase == attemptVoiding {
		verdict = t.voidVerdict(now, a, voided)
		if !a.answered {
			commands = append(commands, t.answer(a, verdict))
		}

		t.forget(a)
	}

	if !voided {
		return commands
	}

	if p := t.pending[v.Key]; p != nil {
		commands = append(commands, t.giveUp(p, ReasonVoided, t.config.VoidHold)...)
	}

	return append(commands, t.answerJoined(v.Key, verdict)...)
}

// voidVerdict says NotRun only while no other attempt can have been admitted
// after the void: others wait VoidHold from reading it, which is later than
// this instance's sending it.
func (t *Table) voidVerdict(now time.Time, a *attempt, voided bool) Verdict {
	if voided && now.Sub(a.voidAt) < t.config.VoidHold {
		return refusal(NotRun, a.reason, t.config.VoidHold)
	}

	return refusal(NotStarted, a.reason, t.config.VoidHold)
}
