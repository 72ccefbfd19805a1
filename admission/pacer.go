package admission

import (
	"sync/atomic"
	"time"
)

// pacer limits a rate by the generic cell rate algorithm: one atomic holds the
// time at which all that was taken will have been earned.
type pacer struct {
	earned atomic.Int64
}

// take takes cost at the given rate a second, or returns the time until it can.
func (p *pacer) take(now time.Time, cost, rate float64, burst time.Duration) (time.Duration, bool) {
	if rate <= 0 {
		return burst, false
	}

	at := now.UnixNano()
	step := int64(cost / rate * float64(time.Second))

	for {
		earned := p.earned.Load()
		start := max(earned, at)
		// A cost above the whole burst passes when nothing is owed, or it never would.
		wait := start + step - at - int64(burst)
		wait = min(wait, start-at)

		if wait > 0 {
			return time.Duration(wait), false
		}

		if p.earned.CompareAndSwap(earned, start+step) {
			return 0, true
		}
	}
}

// give returns cost that was taken and not used, or takes more with a negative cost.
func (p *pacer) give(cost, rate float64) {
	if rate <= 0 {
		return
	}

	p.earned.Add(-int64(cost / rate * float64(time.Second)))
}

// rescale keeps what is owed when the rate changes: in as much as the rate rises
// by a factor, it is earned in less time.
func (p *pacer) rescale(now time.Time, factor float64) {
	at := now.UnixNano()

	for {
		earned := p.earned.Load()
		if earned <= at {
			return
		}

		if p.earned.CompareAndSwap(earned, at+int64(float64(earned-at)/factor)) {
			return
		}
	}
}
