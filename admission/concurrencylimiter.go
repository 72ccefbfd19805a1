package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// concurrencyLimiter adapts a concurrency limit to the measured latency by additive increase and
// multiplicative decrease. While latencies meet their target and the limit is utilized, it grows by
// about one per round of requests. When they miss the target or a server is overloaded, it shrinks
// by a tenth, at most once per round.
type concurrencyLimiter struct {
	running atomic.Int64
	limit   atomic.Uint64
	// minLimit, maxLimit and capacity bound the limit; capacity is this instance's share of the
	// capacity that backend servers report, or 0 if there is none.
	minLimit, maxLimit atomic.Int64
	capacity           atomic.Int64
	// utilized is set when highUtilization of the limit is in use, and unset when less than
	// lowUtilization is. The limit grows only while it is set.
	utilized atomic.Bool
	// nextDecreaseAt is the end of the round of the last decrease, in Unix nanoseconds.
	nextDecreaseAt atomic.Int64
	// meanDuration is the smoothed duration of a request in nanoseconds, as the bits of a float64.
	meanDuration atomic.Uint64
}

const (
	decreaseFactor  = 0.9
	highUtilization = 0.8
	lowUtilization  = 0.5
	smoothingFactor = 0.1
)

func (l *concurrencyLimiter) configure(s ServiceConfig) {
	l.minLimit.Store(int64(s.MinConcurrent))
	l.maxLimit.Store(int64(s.MaxConcurrent))

	if l.limit.Load() == 0 {
		l.setLimit(float64(s.StartConcurrent))
	}

	l.setLimit(l.current())
}

func (l *concurrencyLimiter) current() float64 {
	return math.Float64frombits(l.limit.Load())
}

func (l *concurrencyLimiter) setLimit(v float64) {
	maxLimit := l.maxLimit.Load()

	if c := l.capacity.Load(); c > 0 {
		maxLimit = min(maxLimit, c)
	}

	v = min(v, float64(maxLimit))
	v = max(v, float64(l.minLimit.Load()))
	l.limit.Store(math.Float64bits(v))
}

// setCapacity bounds the limit by the capacity that backend servers report; 0 removes the bound.
func (l *concurrencyLimiter) setCapacity(c int) {
	l.capacity.Store(int64(c))
	l.setLimit(l.current())
}

// acquire takes a slot and reports whether one was free.
func (l *concurrencyLimiter) acquire() bool {
	allowed := int64(l.current())

	for {
		running := l.running.Load()
		if running >= allowed {
			return false
		}

		if l.running.CompareAndSwap(running, running+1) {
			if float64(running+1) >= highUtilization*float64(allowed) && !l.utilized.Load() {
				l.utilized.Store(true)
			}

			return true
		}
	}
}

// release frees a slot and adapts the limit to the outcome of its request.
func (l *concurrencyLimiter) release(now time.Time, target time.Duration, o Outcome) {
	running := l.running.Add(-1) + 1
	limit := l.current()
	l.observeDuration(o.Duration)

	if float64(running) < lowUtilization*limit {
		l.utilized.Store(false)
	}

	late := target > 0 && o.Latency > target
	if late || o.Overloaded {
		l.decrease(now, max(o.Latency, target))

		return
	}

	if l.utilized.Load() {
		l.setLimit(limit + 1/limit)
	}
}

func (l *concurrencyLimiter) decrease(now time.Time, round time.Duration) {
	until := l.nextDecreaseAt.Load()
	if now.UnixNano() < until {
		return
	}

	if l.nextDecreaseAt.CompareAndSwap(until, now.Add(round).UnixNano()) {
		l.setLimit(l.current() * decreaseFactor)
	}
}

func (l *concurrencyLimiter) observeDuration(d time.Duration) {
	if d <= 0 {
		return
	}

	mean := math.Float64frombits(l.meanDuration.Load())
	if mean == 0 {
		mean = float64(d)
	}

	mean += smoothingFactor * (float64(d) - mean)
	l.meanDuration.Store(math.Float64bits(mean))
}

// serviceTime estimates how long one request runs.
func (l *concurrencyLimiter) serviceTime() time.Duration {
	return time.Duration(math.Float64frombits(l.meanDuration.Load()))
}

// drainTime estimates how long it takes until n queued requests have started.
func (l *concurrencyLimiter) drainTime(n float64) time.Duration {
	return time.Duration(n * float64(l.serviceTime()) / l.current())
}
