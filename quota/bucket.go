package quota

import "time"

const (
	// priorities is how many priorities a bucket tells apart. Less urgent ones count as the last.
	priorities = 3
	// largestNeed is the fraction of the burst that a request of the highest priority needs at
	// most. A bucket that is nearly full, as at usual load, then grants any request of any
	// priority; what it costs beyond the level is owed until the bucket has refilled. A smaller
	// fraction lets few large requests block the small ones of the next second.
	largestNeed = 0.1
	// overdueShare is the fraction of the rate that each priority gets for requests that the level
	// refuses, so that no priority or size waits without end.
	overdueShare = 0.03
)

// bucket is a token bucket of the consumption of one account over all instances. It refills at the
// account's rate up to its burst. The zero value has an unknown level.
type bucket struct {
	known bool
	// level is what may be consumed now. It is negative while a grant is owed.
	level float64
	at    time.Time
	// overdue is the credit of each priority for requests that the level refuses. One is granted
	// once the credit is full, and may leave it negative.
	overdue [priorities]float64
	// booked is the cost of refused requests of each priority that are expected to return.
	booked [priorities]float64
	// refusedAt is when a request was last refused.
	refusedAt time.Time
}

// start sets the level while it is unknown. Within a window an account may consume its burst and what
// refills, so that the rest of that is an estimate of the level.
func (b *bucket) start(now time.Time, allowance Allowance, window time.Duration, consumed float64) {
	level := allowance.Burst + allowance.Rate*window.Seconds() - consumed
	b.known, b.level, b.at = true, min(max(level, 0), allowance.Burst), now
}

// refill adds what has refilled since the last call.
func (b *bucket) refill(now time.Time, allowance Allowance) {
	if !b.known {
		return
	}

	elapsed := max(now.Sub(b.at), 0)
	refilled := allowance.Rate * elapsed.Seconds()
	b.at = b.at.Add(elapsed)
	b.refillBooked(refilled)

	for i, credit := range b.overdue {
		added := min(overdueShare*refilled, largestNeed*allowance.Burst-credit)
		b.overdue[i] += added
		refilled -= added
	}

	b.level = min(b.level+refilled, allowance.Burst)
}

// refillBooked takes what has refilled from the booked cost, the most urgent first.
func (b *bucket) refillBooked(refilled float64) {
	for i, booked := range b.booked {
		returned := min(booked, refilled)
		b.booked[i] -= returned
		refilled -= returned
	}
}

// grants reports whether a charge may be granted now. overdue is set if it is by the credit of its
// priority.
func (b *bucket) grants(allowance Allowance, charge Charge) (granted, overdue bool) {
	if neededLevel(allowance, charge) <= b.level {
		return true, false
	}

	overdue = b.overdue[charge.rank()] >= largestNeed*allowance.Burst

	return overdue, overdue
}

// take takes a charge that was granted. One that was granted by the credit of its priority is not
// taken from the level, so that it blocks no urgent requests.
func (b *bucket) take(charge Charge, overdue bool) {
	if overdue {
		b.overdue[charge.rank()] -= charge.Cost

		return
	}

	b.level -= charge.Cost
}

// takeRemote takes what other instances granted. It leaves no debt: an update that was delayed
// states at once what was consumed over a long time.
func (b *bucket) takeRemote(cost float64) {
	b.level = max(b.level-cost, min(b.level, 0))
}

// book returns after which time a refused charge is likely to be granted, behind those that are
// booked and no less urgent. It is booked itself unless callers do not wait that long, or it costs
// more than any window allows: others would wait behind what is never granted.
func (b *bucket) book(now time.Time, allowance Allowance, charge Charge) time.Duration {
	b.refusedAt = now
	ahead := neededLevel(allowance, charge) - b.level

	for _, booked := range b.booked[:charge.rank()+1] {
		ahead += booked
	}

	seconds := ahead / allowance.Rate
	if seconds >= maxRetryAfter.Seconds() || charge.Cost > allowance.Amount {
		return maxRetryAfter
	}

	b.booked[charge.rank()] += charge.Cost

	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// neededLevel returns the level at which a charge is granted. A request may take all of the level,
// half or a third of it, by its priority, so that small and urgent requests are granted first.
func neededLevel(allowance Allowance, charge Charge) float64 {
	return min(charge.Cost, largestNeed*allowance.Burst) * float64(1+charge.rank())
}
