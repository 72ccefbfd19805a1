package retry

import (
	"sync/atomic"
	"time"

	"monsoonlever/window"
)

// windowBuckets is how many buckets a window has.
const windowBuckets = 10

const retryBuckets = windowBuckets + 1

// Budget counts the requests and the retries of one scope. It is safe for
// concurrent use.
type Budget struct {
	policy     BudgetPolicy
	minRetries *atomic.Int64
	requests   *window.Counter
	// sentRetries and unsent hold the retries. The newest bucket is not full, so that
	// they reach back one bucket more than the requests: the requests counted
	// lie within the window, and no retry within it is left out.
	sentRetries   *window.Counter
	unsentRetries *window.Counter
}

func newBudget(p BudgetPolicy) *Budget {
	least := new(atomic.Int64)
	least.Store(int64(p.MinRetries))

	width := p.Window / windowBuckets

	return &Budget{
		policy:        p,
		minRetries:    least,
		requests:      window.NewCounter(width, windowBuckets),
		sentRetries:   window.NewCounter(width, retryBuckets),
		unsentRetries: window.NewCounter(width, retryBuckets),
	}
}

// CountRequest counts a request, at its first attempt.
func (b *Budget) CountRequest(now time.Time) {
	b.requests.Add(now, 1)
}

// Take takes a retry or hedge out of the budget, if it is there.
func (b *Budget) Take(now time.Time) bool {
	return b.take(now, b.sentRetries, b.policy.Share)
}

// TakeUnsent takes a retry of an attempt that was never sent.
func (b *Budget) TakeUnsent(now time.Time) bool {
	return b.take(now, b.unsentRetries, b.policy.UnsentShare)
}

// take counts the retry before it looks, and takes it back if it was too much.
// Two at once may both be refused the last of the budget, never both given it.
func (b *Budget) take(now time.Time, retries *window.Counter, share float64) bool {
	limit := int64(share*float64(b.requests.Sum(now, windowBuckets))) + b.minRetries.Load()

	retries.Add(now, 1)

	if retries.Sum(now, retryBuckets) > limit {
		retries.Add(now, -1)

		return false
	}

	return true
}
