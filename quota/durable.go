package quota

import "time"

// grantedUnrecordedFraction is the part of UnrecordedFraction that is granted without a record. The rest
// covers what instances grant before they learn of each other's consumption.
const grantedUnrecordedFraction = 0.2

// recordTimeout is how long a record that is due may take until requests no longer wait for it: the
// least time between two records, the longest call of the store, and a message to the other instances.
const recordTimeout = 1500 * time.Millisecond

// Recorded records that a durable record contains what all instances had consumed until a time, as
// far as its writer knew. Earlier times have no effect.
func (q *Quota) Recorded(at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()

	if at.After(q.recordedAt) {
		q.recordedAt = at
	}
}

// unrecordedWait returns how long to wait until more of an account may be granted, because too much
// of what was consumed is in no durable record, or zero.
//
// Instances that start after a loss of all assume that a part of the allowance was consumed since the
// newest record (Restore). While none can be written, no more than that is granted.
func (q *Quota) unrecordedWait(now time.Time, a *account) time.Duration {
	if q.recordedAt.IsZero() {
		return 0
	}

	// What has left the window counts for nobody.
	since := q.recordedAt
	if oldest := now.Add(-q.policy.Window); since.Before(oldest) {
		since = oldest
	}

	unrecorded := a.consumed.since(since)
	for _, o := range a.remotes {
		unrecorded += o.consumed.since(since)
	}

	excess := unrecorded - q.unrecordedBound(a, now.Sub(q.recordedAt))
	if unrecorded == 0 || excess < 0 {
		return 0
	}

	return q.retryAfter(a, excess)
}

// awaitsRecord reports whether a record is expected soon, after which more of an account may be granted.
func (q *Quota) awaitsRecord(now time.Time, a *account) bool {
	if a.unrecordedSince.IsZero() {
		a.unrecordedSince = now
	}

	return now.Sub(a.unrecordedSince) < recordTimeout
}

// unrecordedBound returns what of an account may be consumed in the time since the newest durable
// record: less than what a start after the same time assumes.
func (q *Quota) unrecordedBound(a *account, sinceRecord time.Duration) float64 {
	return (grantedUnrecordedFraction + q.lostFraction(sinceRecord)) * a.allowance.Amount
}
