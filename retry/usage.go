package retry

import "time"

// Usage is what a budget has counted in its window.
type Usage struct {
	requests, retries int64
	fixed             float64
}

// Requests returns the number of requests.
func (u Usage) Requests() int64 { return u.requests }

// Retries returns the number of retries and hedges that were granted.
func (u Usage) Retries() int64 { return u.retries }

// Fixed returns the number of retries that are allowed beside the share of the requests.
func (u Usage) Fixed() float64 { return u.fixed }

// Usage returns what the budget has counted in the window that ends now.
func (b *Budget) Usage(now time.Time) Usage {
	return Usage{
		requests: b.requests.Sum(now, budgetBuckets), retries: b.sentRetries.Sum(now, retryBuckets), fixed: b.fixed.inForce(now),
	}
}

// MarkRefused reports whether a refusal is the first one in a window, so that it is worth a log
// line.
func (b *Budget) MarkRefused(now time.Time) bool {
	last := b.refusedAtNano.Load()
	if last != 0 && now.UnixNano()-last < int64(b.policy.Window) {
		return false
	}

	return b.refusedAtNano.CompareAndSwap(last, now.UnixNano())
}
