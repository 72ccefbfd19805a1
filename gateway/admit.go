package gateway

import (
	"context"
	"time"

	"monsoonlever/admission"
	"monsoonlever/refusal"
)

// admitBefore passes a request through admission and returns its ticket, which
// must be finished, or why it was refused.
func (g *Gateway) admitBefore(
	parent context.Context, at time.Time, r admission.Request,
) (*admission.Ticket, *refusal.Refusal) {
	ctx, cancel := context.WithDeadline(parent, at)
	defer cancel()

	ticket := g.Admission.Admit(g.Clock.Now(), r)
	decision := ticket.Wait(ctx)

	if decision.Verdict == admission.Queued {
		return g.abandon(ticket)
	}

	if decision.Verdict == admission.Admitted {
		return ticket, nil
	}

	return nil, refusedBy(decision)
}

// abandon takes a request out of the queue whose caller has gone.
func (g *Gateway) abandon(ticket *admission.Ticket) (*admission.Ticket, *refusal.Refusal) {
	if g.Admission.Abandon(g.Clock.Now(), ticket) {
		return nil, refusal.New(refusal.DeadlinePassed, "the caller stopped waiting").WithRun(refusal.NotRun)
	}

	decision, _ := ticket.Decision()
	if decision.Verdict == admission.Admitted {
		return ticket, nil
	}

	return nil, refusedBy(decision)
}

func refusedBy(d admission.Decision) *refusal.Refusal {
	code := refusal.Overloaded

	switch d.Reason {
	case admission.RequestRate, admission.TokenRate, admission.Concurrency:
		code = refusal.LimitExceeded
	case admission.DeadlineTooShort:
		code = refusal.DeadlineTooShort
	case admission.UnknownService:
		code = refusal.UnknownService
	case admission.UnknownAccount:
		code = refusal.Unauthorized
	default:
	}

	return refusal.New(code, "refused at admission: %s", d.Reason).WithRetryAfter(max(d.RetryAfter, time.Second))
}
