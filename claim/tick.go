package claim

import "time"

// Tick resolves the attempts whose deadline, ClaimTimeout or VoidCooldown has passed, and
// appends the pending outcomes and voids.
func (t *Table) Tick(now time.Time) []Command {
	var commands []Command

	for _, a := range t.snapshot() {
		if t.attempts[a.id] != a {
			continue
		}

		commands = append(commands, t.tickAttempt(now, a)...)
	}

	return commands
}

func (t *Table) tickAttempt(now time.Time, a *attempt) []Command {
	if a.appendPending && !t.down {
		return t.appendFinalRecord(now, a)
	}

	if a.resolved {
		return nil
	}

	late := !a.deadline.After(now)

	switch a.phase {
	case attemptClaiming:
		if late {
			return t.abort(a, ReasonDeadline, t.config.RetryAfter)
		}

		if !a.claimDeadline.After(now) {
			return t.abort(a, ReasonClaimSlow, t.config.OutageRetryAfter)
		}
	case attemptJoined:
		if late {
			return []Command{t.resolve(a, verdictWithoutResult(Unknown, ReasonClaimantSilent, t.config.RetryAfter))}
		}
	case attemptVoiding:
		if late || now.Sub(a.voidAppendedAt) >= t.config.VoidCooldown {
			v := verdictWithoutResult(NotStarted, a.reason, t.config.RetryAfter)
			commands := []Command{t.resolve(a, v)}

			return append(commands, t.resolveJoined(a.key, v)...)
		}
	default:
	}

	return nil
}
