package gateway

import (
	"context"
	"time"

	"monsoonlever/admission"
	"monsoonlever/refusal"
)

// admit passes a request through admission and waits in the queue until the
// deadline at most. It returns either a ticket, which the caller must finish, or
// a refusal.
func (g *Gateway) admit(
	parent context.Context, deadline time.Time, r admission.Request,
) (*admission.Ticket, *refusal.Refusal) {
	ticket := g.Admission.Admit(g.Clock.Now(), r)

	decision, final := ticket.Decision()
	if !final {
		decision = waitForDecision(parent, deadline, ticket)
	}

	if decision.Verdict == admission.Queued {
		return g.abandonQueued(parent, ticket)
	}

	if decision.Verdict == admission.Admitted {
		return ticket, nil
	}

	return nil, refusalOfDecision(decision)
}

// waitForDecision waits for the decision on a queued request until the deadline
// or until the context is cancelled.
func waitForDecision(parent context.Context, deadline time.Time, ticket *admission.Ticket) admission.Decision {
	ctx, cancel := context.WithDeadline(parent, deadline)
	defer cancel()

	return ticket.Wait(ctx)
}

// abandonQueued removes a request from the queue after its deadline has passed or
// its caller has disconnected. If the request was decided in the meantime, that
// decision applies.
func (g *Gateway) abandonQueued(parent context.Context, ticket *admission.Ticket) (*admission.Ticket, *refusal.Refusal) {
	if g.Admission.Abandon(g.Clock.Now(), ticket) {
		cause := "the deadline passed in the queue"
		if parent.Err() != nil {
			cause = "the caller stopped waiting"
		}

		return nil, refusal.New(refusal.DeadlinePassed, "%s", cause).
			WithRun(refusal.NotRun).WithRetryAfter(defaultRetryAfter)
	}

	decision, _ := ticket.Decision()
	if decision.Verdict == admission.Admitted {
		return ticket, nil
	}

	return nil, refusalOfDecision(decision)
}

func refusalOfDecision(d admission.Decision) *refusal.Refusal {
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
		// The manifest in force has both the service and the account, so admission
		// is about to be configured with them.
		code = refusal.NotReady
	default:
	}

	return refusal.New(code, "refused at admission: %s", d.Reason).WithRetryAfter(max(d.RetryAfter, time.Second))
}
