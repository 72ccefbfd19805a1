package retry

import (
	"cmp"
	"sync/atomic"
	"time"

	"monsoonlever/window"
)

// DrainPolicy holds the settings of a DrainEstimator. A zero field selects its
// default.
type DrainPolicy struct {
	// MinRetryAfter and MaxRetryAfter bound the Retry-After of a caller: 1 s and
	// 1 min by default.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Window is the sliding window over which the rate of finished requests is
	// measured: 10 s by default.
	Window time.Duration
}

// drainBuckets is the number of buckets in the window of a DrainEstimator.
const drainBuckets = 10

// jitterDivisor sets the jitter that is added to an estimate: up to an eighth of it.
const jitterDivisor = 8

// DrainEstimator estimates when a service has capacity for a refused caller. It
// assigns callers consecutive time slots at the rate at which the service finishes
// requests, so that they don't all come back at the same time. It is safe for
// concurrent use.
type DrainEstimator struct {
	policy   DrainPolicy
	finished *window.Counter
	// lastSlotNano is the end of the last reserved time slot, in Unix nanoseconds.
	lastSlotNano atomic.Int64
}

// NewDrainEstimator returns an estimator without measurements. Until requests
// finish, its estimates are spread over the upper half of MaxRetryAfter.
func NewDrainEstimator(p DrainPolicy) *DrainEstimator {
	p.MinRetryAfter = cmp.Or(p.MinRetryAfter, time.Second)
	p.MaxRetryAfter = cmp.Or(p.MaxRetryAfter, time.Minute)
	p.Window = cmp.Or(p.Window, 10*time.Second)

	return &DrainEstimator{policy: p, finished: window.NewCounter(p.Window/drainBuckets, drainBuckets+1)}
}

// RecordFinished counts n requests that the service finished.
func (d *DrainEstimator) RecordFinished(now time.Time, n int) {
	d.finished.Add(now, int32(n))
}

// RetryAfter returns after which time a refused caller should retry if excess
// requests are queued ahead of it. The result lies within the bounds of the policy.
func (d *DrainEstimator) RetryAfter(now time.Time, random Random, excess int) time.Duration {
	wait := d.reserveSlot(now, excess)
	spread := randomBelow(random, wait/jitterDivisor)

	// The upper bound is no estimate: callers are spread over the half before it.
	if wait >= d.policy.MaxRetryAfter {
		return d.policy.MaxRetryAfter - randomBelow(random, d.policy.MaxRetryAfter/2)
	}

	return min(max(wait+spread, d.policy.MinRetryAfter), d.policy.MaxRetryAfter)
}

// reserveSlot reserves the next free time slot and returns the time until then. It
// reserves none and returns MaxRetryAfter if the slot is at least that far away or
// no request has finished in the window.
func (d *DrainEstimator) reserveSlot(now time.Time, excess int) time.Duration {
	finished := d.finished.Sum(now, drainBuckets)
	if finished <= 0 {
		return d.policy.MaxRetryAfter
	}

	// At least 1 ns, since the division below must not be by zero.
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

// CeilSeconds returns d in whole seconds, rounded up, for a Retry-After header.
func CeilSeconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
