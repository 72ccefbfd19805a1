package quota

import "time"

// paced reports whether the account is limited by the second, not only by the window.
func (a Allowance) paced() bool { return a.Burst > 0 && a.Rate > 0 }

// paces reports whether the lenders of an account pace it. Where all members share an allowance,
// none of them decides on all requests.
func (q *Quota) paces(a *account) bool { return q.quorum > 0 && a.allowance.paced() }

// updateBucket refills the account's bucket, and estimates its level if that is unknown.
func (q *Quota) updateBucket(now time.Time, a *account) {
	if !a.bucket.known {
		window := now.Add(-q.policy.Window)
		a.bucket.start(now, a.allowance, q.policy.Window, a.consumed.since(window)+a.consumedElsewhere(window))
	}

	a.bucket.refill(now, a.allowance)
}

// paceRemote takes what other instances granted from the account's bucket, so that this one goes on
// from the same level when it becomes the first lender.
func (q *Quota) paceRemote(now time.Time, a *account, cost float64) {
	if !q.paces(a) || cost == 0 || q.syncedAt.IsZero() || q.syncedAt.Before(q.coordinatorSince) {
		return
	}

	q.updateBucket(now, a)
	a.bucket.takeRemote(cost)
}

// refusePaced refuses a charge that the account's bucket does not grant.
func (q *Quota) refusePaced(now time.Time, a *account, charge Charge) Decision {
	wait := a.bucket.book(now, a.allowance, charge)
	q.policy.Counters.pacedRefused(wait)

	return Decision{RetryAfter: wait, Lender: q.policy.Self, Paced: true}
}

// resetBuckets forgets the levels, which do not contain what was consumed while other instances
// were the coordinators.
func (q *Quota) resetBuckets() {
	for _, a := range q.accounts {
		a.bucket = bucket{}
	}
}
