package claim

import (
	"time"

	"monsoonlever/logstream"
)

// Done takes the service's answer to a request that was dispatched.
func (t *Table) Done(_ time.Time, id RequestID, r Result) []Command {
	return t.finish(id, &outcome{kept: true, result: r})
}

// Broken says that it is unknown whether a dispatched request ran.
func (t *Table) Broken(_ time.Time, id RequestID) []Command {
	return t.finish(id, &outcome{broken: true})
}

// finish answers at once; the record follows when the log takes it.
func (t *Table) finish(id RequestID, o *outcome) []Command {
	a := t.attempts[id]
	if a == nil || a.phase != attemptSent {
		return nil
	}

	a.phase = attemptEnded
	a.outcome = o
	commands := []Command{t.answer(a, o.verdict())}
	commands = append(commands, t.answerEnded(a.key, a.digest, o)...)

	return append(commands, t.appendOwed(time.Time{}, a)...)
}

// Declined says that a dispatched request certainly did not run and never
// will: nothing of it was sent, or the backend server refused it.
func (t *Table) Declined(now time.Time, id RequestID) []Command {
	a := t.attempts[id]
	if a == nil || a.phase != attemptSent {
		return nil
	}

	a.reason = ReasonDeclined

	var commands []Command

	if t.down {
		v := refusal(NotStarted, ReasonLogDown, t.config.OutageRetry)
		commands = append(commands, t.answer(a, v))
		commands = append(commands, t.answerJoined(a.key, v)...)
	}

	return append(commands, t.void(now, a)...)
}

// void makes an attempt append its void.
func (t *Table) void(now time.Time, a *attempt) []Command {
	a.phase = attemptVoiding
	t.owners[a.key] = a

	return t.appendOwed(now, a)
}

// appendOwed appends the record that an attempt owes, or keeps it owed while
// the log is down.
func (t *Table) appendOwed(now time.Time, a *attempt) []Command {
	a.owes = t.down
	if t.down {
		return nil
	}

	if a.phase == attemptEnded {
		return []Command{appendOf(KindOutcome, a.id, a.outcome.record(a, t.config.KeepBody))}
	}

	if a.voidAt.IsZero() {
		a.voidAt = now
	}

	return []Command{appendOf(KindVoid, a.id, voidRecord{
		Key:        a.key,
		Generation: a.generation,
		Request:    a.id,
		Reason:     a.reason,
	})}
}

// AppendFailed says that the append of a record ended without its being known
// to be in effect; dead says that it never will be. Only a claim that is dead
// may be made again.
func (t *Table) AppendFailed(now time.Time, kind logstream.Kind, id RequestID, dead bool) []Command {
	a := t.attempts[id]
	if a == nil {
		return nil
	}

	if kind != KindClaim {
		a.owes = true

		if dead {
			a.voidAt = time.Time{}
		}

		return nil
	}

	if a.phase != attemptClaiming {
		return nil
	}

	if !dead || t.down || !now.Before(earlier(a.claimBy, a.deadline)) {
		return t.giveUp(a, ReasonClaimSlow, t.config.RetryAfter)
	}

	return t.reenter(now, a)
}

// reenter admits an attempt again whose claim is dead.
func (t *Table) reenter(now time.Time, a *attempt) []Command {
	delete(t.pending, a.key)

	waiting := t.joined[a.key]
	delete(t.joined, a.key)

	var commands []Command

	for _, w := range append([]*attempt{a}, waiting...) {
		w.phase = attemptClaiming
		commands = append(commands, t.enter(now, w)...)
	}

	return commands
}

// Abandon says that nobody waits for the answer of an attempt any more. One
// that was sent goes on.
func (t *Table) Abandon(_ time.Time, id RequestID) []Command {
	a := t.attempts[id]
	if a == nil || a.answered {
		return nil
	}

	switch a.phase {
	case attemptClaiming:
		return t.giveUp(a, ReasonCanceled, t.config.RetryAfter)
	case attemptJoined:
		return []Command{t.answer(a, refusal(Unknown, ReasonCanceled, t.config.RetryAfter))}
	default:
		return nil
	}
}
