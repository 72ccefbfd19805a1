package retry

import (
	"time"

	"monsoonlever/window"
)

// windowBuckets is how many buckets a window has.
const windowBuckets = 10

// Budget counts the requests and the retries of one scope. It is safe for
// concurrent use.
type Budget struct {
	policy   BudgetPolicy
	requests *window.Counter
	sent     *window.Counter
	unsent   *window.Counter
}

func newBudget(p BudgetPolicy) *Budget {
	width := p.Window / windowBuckets

	return &Budget{
		policy:   p,
		requests: window.NewCounter(width, windowBuckets),
		sent:     window.NewCounter(width, windowBuckets),
		unsent:   window.NewCounter(width, windowBuckets),
	}
}

// Request counts a request, at its first attempt.
func (b *Budget) Request(now time.Time) {
	b.requests.Add(now, 1)
}

// Take takes a retry or hedge out of the budget, if it is there.
func (b *Budget) Take(now time.Time) bool {
	return b.take(now, b.sent, b.policy.Share)
}

// TakeUnsent takes a retry of an attempt that was never sent.
func (b *Budget) TakeUnsent(now time.Time) bool {
	return b.take(now, b.unsent, b.policy.UnsentShare)
}

func (b *Budget) take(now time.Time, retries *window.Counter, share float64) bool {
	limit := int64(share*float64(b.requests.Sum(now, windowBuckets))) + int64(b.policy.Least)
	if retries.Sum(now, windowBuckets) >= limit {
		return false
	}

	retries.Add(now, 1)

	return true
}
