package retry

import (
	"cmp"
	"sync/atomic"
	"time"

	"monsoonlever/window"
)

// DrainPolicy holds the settings of a Drain. A zero field stands for its default.
type DrainPolicy struct {
	// MinRetryAfter and AtMost bound what a caller is told.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Window is the span over which the rate is measured.
	Window time.Duration
}

// jitterDivisor is the part of an estimate that is random: an eighth.
const jitterDivisor = 8

// DrainEstimator estimates when a service has room for a caller that was refused. Each
// caller is promised a time of its own, at the rate at which the service
// finishes requests, so that they don't all come back at once. It is safe for
// concurrent use.
type DrainEstimator struct {
	policy       DrainPolicy
	finished     *window.Counter
	lastSlotNano atomic.Int64
}

// NewDrainEstimator returns a drain that has measured nothing.
func NewDrainEstimator(p DrainPolicy) *DrainEstimator {
	p.MinRetryAfter = cmp.Or(p.MinRetryAfter, time.Second)
	p.MaxRetryAfter = cmp.Or(p.MaxRetryAfter, time.Minute)
	p.Window = cmp.Or(p.Window, 10*time.Second)

	return &DrainEstimator{policy: p, finished: window.NewCounter(p.Window/windowBuckets, windowBuckets+1)}
}

// RecordFinished counts n requests that the service has finished.
func (d *DrainEstimator) RecordFinished(now time.Time, n int) {
	d.finished.Add(now, int32(n))
}

// RetryAfter returns when a refused caller should come back, if excess requests
// wait before it. It lies within the bounds of the policy.
func (d *DrainEstimator) RetryAfter(now time.Time, random Random, excess int) time.Duration {
	wait := d.reserveSlot(now, excess)
	spread := randomBelow(random, wait/jitterDivisor)

	// At the upper bound callers are spread ahead of it, for it is no estimate.
	if wait >= d.policy.MaxRetryAfter {
		return d.policy.MaxRetryAfter - randomBelow(random, d.policy.MaxRetryAfter/2)
	}

	return min(max(wait+spread, d.policy.MinRetryAfter), d.policy.MaxRetryAfter)
}

// reserveSlot takes the next free time and returns the wait for it.
func (d *DrainEstimator) reserveSlot(now time.Time, excess int) time.Duration {
	finished := d.finished.Sum(now, windowBuckets)
	if finished <= 0 {
		return d.policy.MaxRetryAfter
	}

	// A rate of more than one a nanosecond can't be, and mustn't divide by zero.
	each := max(1, d.policy.Window/time.Duration(finished))
	if time.Duration(max(0, excess)) > d.policy.MaxRetryAfter/each {
		return d.policy.MaxRetryAfter
	}

	for {
		old := d.lastSlotNano.Load()
		next := max(old, now.Add(each*time.Duration(max(0, excess))).UnixNano()) + int64(each)
		wait := time.Duration(next - now.UnixNano())

		if wait >= d.policy.MaxRetryAfter {
			return d.policy.MaxRetryAfter
		}

		if d.lastSlotNano.CompareAndSwap(old, next) {
			return wait
		}
	}
}

// RetryAfterSeconds returns a Retry-After in the whole seconds that its header holds.
func RetryAfterSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
