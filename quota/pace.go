package quota

import (
	"math"
	"time"
)

const (
	// priorityShare is the share of an account's bucket that one request may take for each step of
	// its priority: all of it, half, a third. One large request of little urgency then leaves enough for
	// urgent ones, and a small one finds enough at any priority.
	largestPriority = 2
	// typicalShare of the burst bounds how much of the bucket a request needs to find, so that a
	// large request is granted as readily as one of usual size. What it takes beyond that is owed
	// until the bucket has refilled.
	typicalShare = 0.01
)

// bucket paces the consumption of one account over all instances: it refills at the account's
// rate up to its burst. It may be in debt. The zero value is full.
type bucket struct {
	known bool
	level float64
	at    time.Time
	// total is the consumption of all instances that the level takes into account.
	total float64
}

// update refills the bucket and takes what has been consumed since the last update.
func (b *bucket) update(now time.Time, rate, burst, total float64) {
	if !b.known {
		b.known, b.level, b.at, b.total = true, burst, now, total

		return
	}

	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.level+rate*elapsed.Seconds(), burst)
		b.at = now
	}

	// Beyond one burst, debts of other coordinators' loans are forgotten.
	b.level = max(b.level-(total-b.total), -burst)
	b.total = total
}

// paced reports whether the loans of an account are paced.
func (a *account) paced() bool { return a.allowance.Burst > 0 && a.allowance.Rate > 0 }

// paceWait returns how long a charge has to wait for the account's bucket, zero if it may be granted now.
func (a *account) paceWait(now time.Time, cost float64, priority int) time.Duration {
	rate, burst := a.allowance.Rate, a.allowance.Burst
	a.bucket.update(now, rate, burst, a.globalTotal)

	share := 1 / float64(1+min(max(priority, 0), largestPriority))
	needed := math.Min(cost, typicalShare*burst) / share

	if needed <= a.bucket.level {
		return 0
	}

	return time.Duration((needed - a.bucket.level) / rate * float64(time.Second))
}
