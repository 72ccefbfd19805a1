// Package retry decides whether a failed call is retried, whether a slow call is
// hedged, and after which time a refused caller should retry.
//
// A call that is not idempotent is retried only if certainly none of its attempts
// ran: each failed with backend.ErrNotSent or backend.ErrRefused. Each pair of
// service and client account has a budget, which limits retries and hedges to a
// share of its requests in a sliding window. No attempt begins that is not expected
// to finish before the deadline. The time and the random source are arguments.
//
// The budget applies to calls of which the caller has no part of an answer yet. An
// accepted answer whose server is lost is resumed without taking from the budget.
//
// # Usage
//
//	policy := &retry.Policy{Budgets: retry.NewBudgets(retry.BudgetPolicy{})}
//	call := retry.NewCall(retry.NewScope("payrun-api", "wholesale-1"), idempotent).
//		WithDeadline(deadline).
//		WithExpectedDuration(median)
//	policy.CountCall(now, call)
//	for {
//		reply, err := attempt(ctx)
//		if err == nil {
//			return reply, nil
//		}
//		decision := policy.Decide(now, random, call, err)
//		if !decision.Retry() {
//			return backend.Reply{}, err
//		}
//		// Wait for decision.Delay() and pick another server.
//	}
//
// Processes that have a bound on the retries of a service in common use shared budgets, and tell
// them their part of the retries beside the share of the requests:
//
//	budgets := retry.NewSharedBudgets(retry.BudgetPolicy{Share: 0.18}, startedAt)
//	budgets.SetMinRetries(now, 58.0/processes)
//
// DrainEstimator derives a Retry-After from the rate at which a service finishes
// requests:
//
//	drain := retry.NewDrainEstimator(retry.DrainPolicy{})
//	drain.RecordFinished(now, 1)
//	after := drain.RetryAfter(now, random, excess)
package retry
