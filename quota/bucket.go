package quota

import "time"

// bucket is a token bucket of the consumption of one account over all instances. It refills at the
// account's rate up to its burst. The zero value has an unknown level.
type bucket struct {
	known bool
	// level is what may be consumed now. A grant may exceed it, which leaves it negative.
	level float64
	at    time.Time
}

// start sets the level if it is unknown. Within a window an account may consume its burst and what
// refills, so that the rest of that is an estimate of the level.
func (b *bucket) start(now time.Time, allowance Allowance, window time.Duration, consumed float64) {
	if b.known {
		return
	}

	level := allowance.Burst + allowance.Rate*window.Seconds() - consumed
	b.known, b.level, b.at = true, min(max(level, 0), allowance.Burst), now
}

// refill adds what has refilled since the last call.
func (b *bucket) refill(now time.Time, allowance Allowance) {
	if !b.known {
		return
	}

	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level += allowance.Rate * elapsed.Seconds()
		b.at = now
	}

	b.level = min(b.level, allowance.Burst)
}

// take takes what this instance granted.
func (b *bucket) take(cost float64) { b.level -= cost }

// takeRemote takes what other instances granted. It leaves no debt: an update that was delayed
// states at once what was consumed over a long time.
func (b *bucket) takeRemote(cost float64) {
	b.level = max(b.level-cost, min(b.level, 0))
}
