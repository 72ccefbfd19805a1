// Package retry decides whether a failed call is tried again, whether a slow
// one is hedged, and when a refused caller should come back.
//
// A call that isn't idempotent is tried again only while it is certain that no
// attempt of it ran: each failed with backend.ErrNotSent or backend.ErrRefused.
// Retries and hedges come out of a budget of each service and client account, a
// share of its requests over a sliding window. No attempt begins that can't
// finish before the deadline. The time and the random source are arguments.
//
// The budget is for attempts at a call of which the caller has nothing yet. An
// accepted answer that lost its server is resumed without asking it.
//
// # Usage
//
//	policy := &retry.Policy{Budgets: retry.NewBudgets(retry.BudgetPolicy{})}
//	call := retry.NewCall(retry.NewScope("payrun-api", "wholesale-1"), idempotent).
//		WithDeadline(deadline).
//		WithExpected(median)
//	policy.Begin(now, call)
//	for {
//		reply, err := attempt(ctx)
//		if err == nil {
//			return reply, nil
//		}
//		decision := policy.Decide(now, random, call, err)
//		if !decision.Again() {
//			return backend.Reply{}, err
//		}
//		// Wait for decision.After(), pick another server, and go on.
//	}
//
// Drain turns what a service finishes into a Retry-After:
//
//	drain := retry.NewDrain(retry.DrainPolicy{})
//	drain.Finished(now, 1)
//	after := drain.RetryAfter(now, random, excess)
package retry
