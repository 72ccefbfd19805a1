package gateway

import (
	"context"
	"time"

	"monsoonlever/admission"
	"monsoonlever/refusal"
)

// admit passes a request through admission and returns its ticket, which
// must be finished, or why it was refused.
func (g *Gateway) admit(
	parent context.Context, at time.Time, r admission.Request,
) (*admission.Ticket, *refusal.Refusal) {
	ticket := g.Admission.Admit(g.Clock.Now(), r)

	decision, final := ticket.Decision()
	if !final {
		decision = waitBefore(parent, at, ticket)
	}

	if decision.Verdict == admission.Queued {
		return g.abandon(parent, ticket)
	}

	if decision.Verdict == admission.Admitted {
		return ticket, nil
	}

	return nil, refusedBy(decision)
}

// waitBefore waits for the decision on a queued request.
func waitBefore(parent context.Context, at time.Time, ticket *admission.Ticket) admission.Decision {
	ctx, cancel := context.WithDeadline(parent, at)
	defer cancel()

	return ticket.Wait(ctx)
}

// abandon takes a request out of the queue whose deadline has passed or whose
// caller has gone.
func (g *Gateway) abandon(parent context.Context, ticket *admission.Ticket) (*admission.Ticket, *refusal.Refusal) {
	if g.Admission.Abandon(g.Clock.Now(), ticket) {
		cause := "the deadline passed in the queue"
		if parent.Err() != nil {
			cause = "the caller stopped waiting"
		}

		return nil, refusal.New(refusal.DeadlinePassed, "%s", cause).
			WithRun(refusal.NotRun).WithRetryAfter(comeBackSoon)
	}

	decision, _ := ticket.Decision()
	if decision.Verdict == admission.Admitted {
		return ticket, nil
	}

	return nil, refusedBy(decision)
}

func refusedBy(d admission.Decision) *refusal.Refusal {
	if d.Reason == admission.Withdrawn {
		return refusal.New(refusal.UnknownService, "the service left the manifest")
	}

	code := refusal.Overloaded

	switch d.Reason {
	case admission.RequestRate, admission.TokenRate, admission.Concurrency:
		code = refusal.LimitExceeded
	case admission.DeadlineTooShort:
		code = refusal.DeadlineTooShort
	case admission.UnknownService, admission.UnknownAccount:
		// The manifest in force knows both, and its limits follow at once.
		code = refusal.NotReady
	default:
	}

	return refusal.New(code, "refused at admission: %s", d.Reason).WithRetryAfter(max(d.RetryAfter, time.Second))
}
