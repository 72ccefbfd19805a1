package claim

import "time"

// Tick ends the attempts whose time has passed and appends what is owed.
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
	if a.owes && !t.down {
		return t.appendOwed(now, a)
	}

	if a.answered {
		return nil
	}

	late := !a.deadline.After(now)

	switch a.phase {
	case attemptClaiming:
		if late {
			return t.giveUp(a, ReasonDeadline, t.config.RetryAfter)
		}

		if !a.claimBy.After(now) {
			return t.giveUp(a, ReasonClaimSlow, t.config.OutageRetry)
		}
	case attemptJoined:
		if late {
			return []Command{t.answer(a, refusal(Unknown, ReasonClaimantSilent, t.config.RetryAfter))}
		}
	case attemptVoiding:
		if late || now.Sub(a.voidAt) >= t.config.VoidHold {
			v := refusal(NotStarted, a.reason, t.config.RetryAfter)
			commands := []Command{t.answer(a, v)}

			return append(commands, t.answerJoined(a.key, v)...)
		}
	default:
	}

	return nil
}
