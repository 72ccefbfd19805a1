package claim

import (
	"time"

	"monsoonlever/logstream"
)

// Read applies one log entry. Entries must be read in log order.
func (t *Table) Read(now time.Time, e logstream.Entry) []Command {
	if e.Time().After(t.logTime) {
		t.logTime = e.Time()
	}

	t.evictExpired()

	writer := claimant{id: e.Writer(), incarnation: e.Incarnation()}

	var commands []Command

	if before, replaced := t.claimants.observe(writer); replaced {
		commands = t.InstanceRemoved(before.id, before.incarnation)
	}

	switch e.Kind() {
	case KindClaim:
		return append(commands, t.readClaim(now, e, writer)...)
	case KindOutcome:
		return append(commands, t.readOutcome(e, writer)...)
	case KindVoid:
		return append(commands, t.readVoid(now, e, writer)...)
	default:
		return commands
	}
}

// refreshKey returns the state of the key of a record and sets the time of its last record.
// A key whose last record is older than the window gets a new state. Invalid records count
// too, so that all instances see the same gaps between the records of a key.
func (t *Table) refreshKey(key KeyID) *keyState {
	state := t.keys[key]
	if state != nil && !state.expired(t.logTime, t.config.Window) {
		state.lastRecord = t.logTime.UnixNano()

		return state
	}

	known := state != nil
	state = &keyState{
		lastRecord: t.logTime.UnixNano(),
		uncertain:  t.logTime.Before(t.completeSince.Add(t.config.Window)),
	}
	t.keys[key] = state

	if !known {
		t.expiry.push(expiryItem{key: key, lastRecord: state.lastRecord})
	}

	return state
}

// evictExpired removes the keys whose window has passed.
func (t *Table) evictExpired() {
	for {
		item, ok := t.expiry.front()
		if !ok || t.logTime.UnixNano()-item.lastRecord <= int64(t.config.Window) {
			return
		}

		t.expiry.pop()

		state := t.keys[item.key]
		if state.expired(t.logTime, t.config.Window) {
			delete(t.keys, item.key)

			continue
		}

		t.expiry.push(expiryItem{key: item.key, lastRecord: state.lastRecord})
	}
}

func (t *Table) readClaim(now time.Time, e logstream.Entry, writer claimant) []Command {
	var c claimRecord
	if err := decode(e.Payload(), &c); err != nil {
		t.undecodable++

		return nil
	}

	state := t.refreshKey(c.Key)
	valid := state.applyClaim(c, t.claimants.number(writer))

	if writer != t.self {
		return nil
	}

	return t.readOwnClaim(now, e, c, valid, state)
}

// readOwnClaim decides on an attempt of this instance whose claim was read back.
func (t *Table) readOwnClaim(now time.Time, e logstream.Entry, c claimRecord, valid bool, state *keyState) []Command {
	a := t.attempts[c.Request]
	if a == nil {
		return t.voidUnsent(now, c, valid || state.uncertain)
	}

	if a.phase != attemptClaiming {
		return nil
	}

	delete(t.pending, a.key)

	switch {
	case valid && t.keyExpired(a, e.Time()):
		commands := []Command{t.resolve(a, verdictWithoutResult(KeyExpired, ReasonNone, 0))}

		return append(commands, t.voidUnsent(now, c, true)...)
	case valid && !a.deadline.After(now):
		commands := []Command{t.resolve(a, verdictWithoutResult(NotStarted, ReasonDeadline, t.config.RetryAfter))}

		return append(commands, t.voidUnsent(now, c, true)...)
	case valid:
		a.phase = attemptDispatched
		t.owners[a.key] = a

		return []Command{Dispatch{attempt: a.id, deadline: a.deadline}}
	case state.uncertain:
		commands := []Command{t.resolve(a, verdictWithoutResult(NotStarted, ReasonUncertain, t.config.OutageRetryAfter))}

		return append(commands, t.voidUnsent(now, c, true)...)
	default:
		return t.joinWinner(now, a, state)
	}
}

// joinWinner makes an attempt whose claim is not the valid one, and the attempts that
// joined it, join the attempt with the valid claim. If the key was voided in the meantime,
// they end with NotStarted.
func (t *Table) joinWinner(now time.Time, a *attempt, state *keyState) []Command {
	waiting := t.joined[a.key]
	delete(t.joined, a.key)

	var commands []Command

	for _, w := range append([]*attempt{a}, waiting...) {
		if state.phase == keyFree {
			w.phase = attemptClaiming
			commands = append(commands, t.resolve(w, verdictWithoutResult(NotStarted, ReasonVoided, t.config.RetryAfter)))

			continue
		}

		w.phase = attemptClaiming
		commands = append(commands, t.admit(now, w)...)
	}

	return commands
}

// voidUnsent voids a claim of this instance whose call must not be sent: its caller stopped
// waiting, its deadline passed, or its key expired or is uncertain. inEffect is set if the
// claim is or may be in effect; otherwise there is nothing to void.
func (t *Table) voidUnsent(now time.Time, c claimRecord, inEffect bool) []Command {
	if !inEffect {
		return nil
	}

	a := &attempt{
		id:         c.Request,
		key:        c.Key,
		digest:     c.Digest,
		generation: c.Generation,
		resolved:   true,
		reason:     ReasonDeadline,
	}
	t.attempts[a.id] = a
	t.order = append(t.order, a)
	commands := t.resolveJoined(a.key, verdictWithoutResult(NotStarted, a.reason, t.config.RetryAfter))

	return append(commands, t.appendVoid(now, a)...)
}

func (t *Table) readOutcome(e logstream.Entry, writer claimant) []Command {
	var o outcomeRecord
	if err := decode(e.Payload(), &o); err != nil {
		t.undecodable++

		return nil
	}

	state := t.refreshKey(o.Key)
	completed := state.applyOutcome(o, t.claimants.number(writer))

	if a := t.attempts[o.Request]; writer == t.self && a != nil && a.phase == attemptCompleted {
		t.remove(a)
	}

	if !completed {
		return nil
	}

	return t.resolveWithOutcome(o.Key, o.Digest, state.outcome)
}

// resolveWithOutcome resolves the attempts that wait for the outcome of a key.
func (t *Table) resolveWithOutcome(key KeyID, digest Digest, o *outcome) []Command {
	var commands []Command

	for _, a := range append([]*attempt(nil), t.joined[key]...) {
		if a.digest != digest {
			commands = append(commands, t.resolve(a, verdictWithoutResult(KeyReused, ReasonNone, 0)))

			continue
		}

		commands = append(commands, t.resolve(a, o.verdict()))
	}

	return commands
}

func (t *Table) readVoid(now time.Time, e logstream.Entry, writer claimant) []Command {
	var v voidRecord
	if err := decode(e.Payload(), &v); err != nil {
		t.undecodable++

		return nil
	}

	state := t.refreshKey(v.Key)
	voided := state.applyVoid(v, t.claimants.number(writer))

	if voided {
		state.blockedUntil = now.Add(t.config.VoidCooldown).UnixNano()
	}

	verdict := verdictWithoutResult(NotStarted, ReasonVoided, t.config.VoidCooldown)

	var commands []Command

	if a := t.attempts[v.Request]; writer == t.self && a != nil && a.phase == attemptVoiding {
		verdict = t.voidVerdict(now, a, voided)
		if !a.resolved {
			commands = append(commands, t.resolve(a, verdict))
		}

		t.remove(a)
	}

	if !voided {
		return commands
	}

	if p := t.pending[v.Key]; p != nil {
		commands = append(commands, t.abort(p, ReasonVoided, t.config.VoidCooldown)...)
	}

	return append(commands, t.resolveJoined(v.Key, verdict)...)
}

// voidVerdict returns NotRun only while no other attempt can have been admitted after the
// void. Other instances reject attempts for VoidCooldown after they read the void, which is
// later than this instance appended it.
func (t *Table) voidVerdict(now time.Time, a *attempt, voided bool) Verdict {
	if voided && now.Sub(a.voidAppendedAt) < t.config.VoidCooldown {
		return verdictWithoutResult(NotRun, a.reason, t.config.VoidCooldown)
	}

	return verdictWithoutResult(NotStarted, a.reason, t.config.VoidCooldown)
}
