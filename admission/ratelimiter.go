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
func (l *rateLimiter) take(now time.Time, cost, rate float64, burst time.Duration) (time.Duration, bool) {
	if rate <= 0 {
		return burst, false
	}

	at := now.UnixNano()
	step := int64(cost / rate * float64(time.Second))

	for {
		arrival := l.theoreticalArrival.Load()
		start := max(arrival, at)
		// A cost above the burst is allowed when nothing is outstanding; otherwise it could
		// never be taken.
		wait := start + step - at - int64(burst)
		wait = min(wait, start-at)

		if wait > 0 {
			return time.Duration(wait), false
		}

		if l.theoreticalArrival.CompareAndSwap(arrival, start+step) {
			return 0, true
		}
	}
}

// refund returns cost that was taken and not used. A negative cost consumes more.
func (l *rateLimiter) refund(cost, rate float64) {
	if rate <= 0 {
		return
	}

	l.theoreticalArrival.Add(-int64(cost / rate * float64(time.Second)))
}

// rescale preserves the outstanding consumption when the rate changes by a factor: at a higher
// rate, the same consumption is replenished in less time.
func (l *rateLimiter) rescale(now time.Time, factor float64) {
	at := now.UnixNano()

	for {
		arrival := l.theoreticalArrival.Load()
		if arrival <= at {
			return
		}

		if l.theoreticalArrival.CompareAndSwap(arrival, at+int64(float64(arrival-at)/factor)) {
			return
		}
	}
}
