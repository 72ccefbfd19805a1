package admission

import (
	"sync/atomic"
	"time"
)

// rateLimiter limits a rate by the generic cell rate algorithm (GCRA). Its state is the theoretical
// arrival time: the time at which all that was consumed will have been replenished.
type rateLimiter struct {
	theoreticalArrival atomic.Int64
}

// take consumes cost at the given rate per second. If the limit does not allow it, take returns
// false and the time until it does; at a rate of 0, that time is burst.
func (p *rateLimiter) take(now time.Time, cost, rate float64, burst time.Duration) (time.Duration, bool) {
	if rate <= 0 {
		return burst, false
	}

	at := now.UnixNano()
	step := int64(cost / rate * float64(time.Second))

	for {
		earned := p.theoreticalArrival.Load()
		start := max(earned, at)
		// A cost above the burst is allowed when nothing is outstanding; otherwise it could
		// never be taken.
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

// refund returns cost that was taken and not used. A negative cost consumes more.
func (p *rateLimiter) refund(cost, rate float64) {
	if rate <= 0 {
		return
	}

	p.theoreticalArrival.Add(-int64(cost / rate * float64(time.Second)))
}

// rescale preserves the outstanding consumption when the rate changes by a factor: at a higher
// rate, the same consumption is replenished in less time.
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
