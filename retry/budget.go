package retry

import (
	"sync/atomic"
	"time"

	"monsoonlever/window"
)

// windowBuckets is the number of buckets of a sliding window.
const windowBuckets = 10

// retryBuckets is the number of buckets over which retries are counted.
const retryBuckets = windowBuckets + 1

// Budget limits the retries and hedges of one scope to a share of its requests
// in a sliding window. It is safe for concurrent use.
type Budget struct {
	policy   BudgetPolicy
	fixed    *fixedPart
	requests *window.Counter
	// sentRetries and unsentRetries cover one bucket more than requests, because
	// the newest bucket is only partly elapsed: every counted request lies within
	// the window, and no retry within the window is missed.
	sentRetries   *window.Counter
	unsentRetries *window.Counter
	counters      *Counters
	// refusedAtNano is the time of the latest refusal that MarkRefused reported, in Unix nanoseconds.
	refusedAtNano atomic.Int64
}

func newBudget(p BudgetPolicy) *Budget {
	fixed := &fixedPart{}
	fixed.set(time.Time{}, float64(p.MinRetries))

	width := p.Window / windowBuckets

	return &Budget{
		policy:        p,
		fixed:         fixed,
		requests:      window.NewCounter(width, windowBuckets),
		sentRetries:   window.NewCounter(width, retryBuckets),
		unsentRetries: window.NewCounter(width, retryBuckets),
	}
}

// CountRequest counts a request. It is called once, at the first attempt.
func (b *Budget) CountRequest(now time.Time) {
	b.requests.Add(now, 1)
}

// Take reports whether the budget allows a retry or hedge, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	return b.take(now, b.sentRetries, b.policy.Share)
}

// TakeUnsent reports whether the budget allows a retry of an attempt that was
// never sent, and counts it if so.
func (b *Budget) TakeUnsent(now time.Time) bool {
	return b.take(now, b.unsentRetries, b.policy.UnsentShare)
}

// take counts the retry first and subtracts it again if that exceeds the limit. The fractions of
// the share of the requests and of the fixed part are rounded down together: rounded one by one,
// processes with few requests each would lose most of what all together may use.
// Of two concurrent calls for the last retry both may be refused, but never both
// granted.
func (b *Budget) take(now time.Time, retries *window.Counter, share float64) bool {
	ofRequests := share * float64(b.requests.Sum(now, windowBuckets))

	retries.Add(now, 1)

	sum := float64(retries.Sum(now, retryBuckets))
	if sum > ofRequests+b.fixed.inForce(now) {
		retries.Add(now, -1)
		b.counters.refuse()

		return false
	}

	b.counters.granted(sum > ofRequests)

	return true
}
