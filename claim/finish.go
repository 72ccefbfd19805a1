package claim

import (
	"time"

	"monsoonlever/logstream"
)

// Completed takes the service's answer to a request that was dispatched.
func (t *Table) Completed(_ time.Time, id AttemptID, r Result) []Command {
	return t.finish(id, &outcome{bodyStored: true, result: r})
}

// Broken says that it is unknown whether a dispatched request ran.
func (t *Table) Broken(_ time.Time, id AttemptID) []Command {
	return t.finish(id, &outcome{broken: true})
}

// finish answers at once; the record follows when the log takes it.
func (t *Table) finish(id AttemptID, o *outcome) []Command {
	a := t.attempts[id]
	if a == nil || a.phase != attemptDispatched {
		return nil
	}

	a.phase = attemptCompleted
	a.outcome = o
	commands := []Command{t.resolve(a, o.verdict())}
	commands = append(commands, t.resolveWithOutcome(a.key, a.digest, o)...)

	return append(commands, t.appendFinalRecord(time.Time{}, a)...)
}

// Declined says that a dispatched request certainly did not run and never
// will: nothing of it was sent, or the backend server refused it.
func (t *Table) Declined(now time.Time, id AttemptID) []Command {
	a := t.attempts[id]
	if a == nil || a.phase != attemptDispatched {
		return nil
	}

	a.reason = ReasonDeclined

	var commands []Command

	if t.down {
		v := verdictWithoutResult(NotStarted, ReasonLogDown, t.config.OutageRetryAfter)
		commands = append(commands, t.resolve(a, v))
		commands = append(commands, t.resolveJoined(a.key, v)...)
	}

	return append(commands, t.appendVoid(now, a)...)
}

// appendVoid makes an attempt append its appendVoid.
func (t *Table) appendVoid(now time.Time, a *attempt) []Command {
	a.phase = attemptVoiding
	t.owners[a.key] = a

	return t.appendFinalRecord(now, a)
}

// appendFinalRecord appends the record that an attempt owes, or keeps it owed while
// the log is down.
func (t *Table) appendFinalRecord(now time.Time, a *attempt) []Command {
	a.appendPending = t.down
	if t.down {
		return nil
	}

	if a.phase == attemptCompleted {
		return []Command{newAppend(KindOutcome, a.id, a.outcome.record(a, t.config.MaxStoredBody))}
	}

	if a.voidAppended.IsZero() {
		a.voidAppended = now
	}

	return []Command{newAppend(KindVoid, a.id, voidRecord{
		Key:        a.key,
		Generation: a.generation,
		Request:    a.id,
		Reason:     a.reason,
	})}
}

// AppendFailed says that the append of a record ended without its being known
// to be in effect; dead says that it never will be. Only a claim that is dead
// may be made again.
func (t *Table) AppendFailed(now time.Time, kind logstream.Kind, id AttemptID, definite bool) []Command {
	a := t.attempts[id]
	if a == nil {
		return nil
	}

	if kind != KindClaim {
		a.appendPending = true

		if definite {
			a.voidAppended = time.Time{}
		}

		return nil
	}

	if a.phase != attemptClaiming {
		return nil
	}

	if !definite || t.down || !now.Before(earlier(a.claimDeadline, a.deadline)) {
		return t.abort(a, ReasonClaimSlow, t.config.RetryAfter)
	}

	return t.readmit(now, a)
}

// readmit admits an attempt again whose claim is dead.
func (t *Table) readmit(now time.Time, a *attempt) []Command {
	delete(t.pending, a.key)

	waiting := t.joined[a.key]
	delete(t.joined, a.key)

	var commands []Command

	for _, w := range append([]*attempt{a}, waiting...) {
		w.phase = attemptClaiming
		commands = append(commands, t.admit(now, w)...)
	}

	return commands
}

// Abandon says that nobody waits for the answer of an attempt any more. One
// that was sent goes on.
func (t *Table) Abandon(_ time.Time, id AttemptID) []Command {
	a := t.attempts[id]
	if a == nil || a.resolved {
		return nil
	}

	switch a.phase {
	case attemptClaiming:
		return t.abort(a, ReasonCanceled, t.config.RetryAfter)
	case attemptJoined:
		return []Command{t.resolve(a, verdictWithoutResult(Unknown, ReasonCanceled, t.config.RetryAfter))}
	default:
		return nil
	}
}
