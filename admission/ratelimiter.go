package admission

import (
	"sync/atomic"
	"time"
)

// rateLimiter limits a rate by the generic cell rate algorithm: one atomic holds the
// time at which all that was taken will have been earned.
type rateLimiter struct {
	theoreticalArrival atomic.Int64
}

// take takes cost at the given rate a second, or returns the time until it can.
func (p *rateLimiter) take(now time.Time, cost, rate float64, burst time.Duration) (time.Duration, bool) {
	if rate <= 0 {
		return burst, false
	}

	at := now.UnixNano()
	step := int64(cost / rate * float64(time.Second))

	for {
		earned := p.theoreticalArrival.Load()
		start := max(earned, at)
		// A cost above the whole burst passes when nothing is owed, or it never would.
		wait := start + step - at - int64(burst)
		wait = min(wait, start-at)

		if wait > 0 {
			return time.Duration(wait), false
		}

		if p.theoreticalArrival.CompareAndSwap(earned, start+step) {
			return 0, true
		}
	}
}

// refund returns cost that was taken and not used, or takes more with a negative cost.
func (p *rateLimiter) refund(cost, rate float64) {
	if rate <= 0 {
		return
	}

	p.theoreticalArrival.Add(-int64(cost / rate * float64(time.Second)))
}

// rescale keeps what is owed when the rate changes: in as much as the rate rises
// by a factor, it is earned in less time.
func (p *rateLimiter) rescale(now time.Time, factor float64) {
	at := now.UnixNano()

	for {
		earned := p.theoreticalArrival.Load()
		if earned <= at {
			return
		}

		if p.theoreticalArrival.CompareAndSwap(earned, at+int64(float64(earned-at)/factor)) {
			return
		}
	}
}
