package quota

import (
	"math"
	"time"
)

const (
	// leastPriority bounds how much of a bucket less urgent requests leave to urgent ones.
	leastPriority = 2
	// typicalFraction of the burst bounds the level that a request needs, so that a large request
	// is granted as readily as one of usual size. The rest of its cost becomes a debt.
	typicalFraction = 0.01
)

// paced reports whether the account is limited by the second, not only by the window.
func (a Allowance) paced() bool { return a.Burst > 0 && a.Rate > 0 }

// paces reports whether the lenders of an account pace it. Where all members share an allowance,
// none of them decides on all requests.
func (q *Quota) paces(a *account) bool { return q.quorum > 0 && a.allowance.paced() }

// paceWait returns how long a charge has to wait for the account's bucket, or zero if it may be
// granted now.
func (q *Quota) paceWait(now time.Time, a *account, charge Charge) time.Duration {
	a.bucket.start(now, a.allowance, q.policy.Window, q.consumedByAll(now, a))
	a.bucket.refill(now, a.allowance)

	missing := neededLevel(a.allowance, charge) - a.bucket.level
	if missing <= 0 {
		return 0
	}

	return time.Duration(math.Ceil(missing / a.allowance.Rate * float64(time.Second)))
}

// neededLevel returns the level at which a charge is granted. A request may take all of the level,
// half or a third of it, by its priority, so that small and urgent requests are granted first.
func neededLevel(allowance Allowance, charge Charge) float64 {
	divisor := 1 + min(max(charge.Priority, 0), leastPriority)

	return min(charge.Cost, typicalFraction*allowance.Burst) * float64(divisor)
}

// paceRemote takes what other instances granted from the account's bucket.
func (q *Quota) paceRemote(now time.Time, a *account, cost float64) {
	if q.paces(a) && cost > 0 {
		a.bucket.refill(now, a.allowance)
		a.bucket.takeRemote(cost)
	}
}

// resetBuckets forgets the levels, which do not contain what was consumed while other instances
// were the coordinators.
func (q *Quota) resetBuckets() {
	for _, a := range q.accounts {
		a.bucket = bucket{}
	}
}

// consumedByAll returns what all instances have consumed within the window, as far as this one
// knows.
func (q *Quota) consumedByAll(now time.Time, a *account) float64 {
	window := now.Add(-q.policy.Window)

	return a.consumed.since(window) + a.consumedElsewhere(window)
}
