package retry

import (
	"cmp"
	"sync/atomic"
	"time"

	"monsoonlever/window"
)

// DrainPolicy holds the settings of a Drain. A zero field stands for its default.
type DrainPolicy struct {
	// Least and AtMost bound what a caller is told.
	Least  time.Duration
	AtMost time.Duration
	// Window is the span over which the rate is measured.
	Window time.Duration
}

// spreadPart is the part of an estimate that is random: an eighth.
const spreadPart = 8

// Drain estimates when a service has room for a caller that was refused. Each
// caller is promised a time of its own, at the rate at which the service
// finishes requests, so that they don't all come back at once. It is safe for
// concurrent use.
type Drain struct {
	policy   DrainPolicy
	finished *window.Counter
	promised atomic.Int64
}

// NewDrain returns a drain that has measured nothing.
func NewDrain(p DrainPolicy) *Drain {
	p.Least = cmp.Or(p.Least, time.Second)
	p.AtMost = cmp.Or(p.AtMost, time.Minute)
	p.Window = cmp.Or(p.Window, 10*time.Second)

	return &Drain{policy: p, finished: window.NewCounter(p.Window/windowBuckets, windowBuckets+1)}
}

// Finished counts n requests that the service has finished.
func (d *Drain) Finished(now time.Time, n int) {
	d.finished.Add(now, int32(n))
}

// RetryAfter returns when a refused caller should come back, if excess requests
// wait before it. It lies within the bounds of the policy.
func (d *Drain) RetryAfter(now time.Time, random Random, excess int) time.Duration {
	wait := d.promise(now, excess)
	spread := upTo(random, wait/spreadPart)

	// At the upper bound callers are spread ahead of it, for it is no estimate.
	if wait >= d.policy.AtMost {
		return d.policy.AtMost - upTo(random, d.policy.AtMost/2)
	}

	return min(max(wait+spread, d.policy.Least), d.policy.AtMost)
}

// promise takes the next free time and returns the wait for it.
func (d *Drain) promise(now time.Time, excess int) time.Duration {
	finished := d.finished.Sum(now, windowBuckets)
	if finished <= 0 {
		return d.policy.AtMost
	}

	// A rate of more than one a nanosecond can't be, and mustn't divide by zero.
	each := max(1, d.policy.Window/time.Duration(finished))
	if time.Duration(max(0, excess)) > d.policy.AtMost/each {
		return d.policy.AtMost
	}

	for {
		old := d.promised.Load()
		next := max(old, now.Add(each*time.Duration(max(0, excess))).UnixNano()) + int64(each)
		wait := time.Duration(next - now.UnixNano())

		if wait >= d.policy.AtMost {
			return d.policy.AtMost
		}

		if d.promised.CompareAndSwap(old, next) {
			return wait
		}
	}
}

// Seconds returns a Retry-After in the whole seconds that its header holds.
func Seconds(d time.Duration) int {
	return int((d + time.Second - 1) / time.Second)
}
