package claim

import (
	"time"

	"monsoonlever/logstream"
)

// Completed reports the service's response to a dispatched call.
func (t *Table) Completed(_ time.Time, id AttemptID, r Result) []Command {
	return t.finish(id, &outcome{bodyStored: true, result: r})
}

// Broken reports that it is unknown whether a dispatched call ran.
func (t *Table) Broken(_ time.Time, id AttemptID) []Command {
	return t.finish(id, &outcome{broken: true})
}

// finish resolves the attempt and those that joined it immediately; the outcome is appended
// once the log is available.
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

// Declined reports that a dispatched call certainly did not run and never will: it was not
// sent, or the backend server refused it.
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

// appendVoid starts voiding the claim of an attempt.
func (t *Table) appendVoid(now time.Time, a *attempt) []Command {
	a.phase = attemptVoiding
	t.owners[a.key] = a

	return t.appendFinalRecord(now, a)
}

// appendFinalRecord appends the outcome or void of an attempt, or marks it as pending while
// the log is unavailable.
func (t *Table) appendFinalRecord(now time.Time, a *attempt) []Command {
	a.appendPending = t.down
	if t.down {
		return nil
	}

	if a.phase == attemptCompleted {
		return []Command{newAppend(KindOutcome, a.id, a.outcome.record(a, t.config.MaxStoredBody))}
	}

	if a.voidAppendedAt.IsZero() {
		a.voidAppendedAt = now
	}

	return []Command{newAppend(KindVoid, a.id, voidRecord{
		Key:        a.key,
		Generation: a.generation,
		Request:    a.id,
		Reason:     a.reason,
	})}
}

// AppendFailed reports that the append of a record ended without confirmation. definite
// means that the record will never take effect. A claim is appended again only after a
// definite failure; otherwise the first one may still take effect.
func (t *Table) AppendFailed(now time.Time, kind logstream.Kind, id AttemptID, definite bool) []Command {
	a := t.attempts[id]
	if a == nil {
		return nil
	}

	if kind != KindClaim {
		a.appendPending = true

		if definite {
			a.voidAppendedAt = time.Time{}
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

// readmit admits an attempt whose claim definitely failed again, together with the attempts
// that joined it.
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

// Abandon reports that the caller of an attempt stopped waiting. A dispatched call
// continues.
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
