package retry

import (
	"sync/atomic"
	"time"

	"monsoonlever/window"
)

const (
	// budgetBuckets is the number of buckets in the window of a budget.
	budgetBuckets = 20
	// retryBuckets is the number of buckets over which retries are counted. They exceed the window,
	// since a retry arrives at a server a while after it was granted, and the newest bucket is only
	// partly elapsed.
	retryBuckets = budgetBuckets + 2
)

// Budget limits the retries and hedges of one scope to a share of its requests
// in a sliding window. It is safe for concurrent use.
type Budget struct {
	policy BudgetPolicy
	share  requestShare
	fixed  *fixedPart
	// requests covers the window before that of the retries as well.
	requests      *window.Counter
	sentRetries   *window.Counter
	unsentRetries *window.Counter
	counters      *Counters
	// refusedAtNano is the time of the latest refusal that MarkRefused reported, in Unix nanoseconds.
	refusedAtNano atomic.Int64
}

// CountRequest counts a request. It is called once, at the first attempt.
func (b *Budget) CountRequest(now time.Time) {
	b.requests.Add(now, 1)
}

// Take reports whether the budget allows a retry or hedge, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	return b.take(now, b.sentRetries, b.policy.Share)
}

// Covers reports whether a retry that was granted earlier counts in the window in which it is sent now.
// One that is sent later than that could arrive together with all that are granted by then.
func (b *Budget) Covers(now, grantedAt time.Time) bool {
	return now.Sub(grantedAt) < b.policy.Window/budgetBuckets
}

// Return returns a retry that was granted and not sent.
func (b *Budget) Return(grantedAt time.Time) {
	b.sentRetries.Add(grantedAt, -1)
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
	retries.Add(now, 1)

	beyond := b.share.beyond(now, b.requests, retries, share)
	if beyond > b.fixed.inForce(now) {
		retries.Add(now, -1)
		b.counters.refuse()

		return false
	}

	b.counters.granted(beyond > 0)

	return true
}
