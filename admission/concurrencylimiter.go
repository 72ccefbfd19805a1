package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// concurrencyLimiter adapts a concurrency limit to the measured latency: it grows by up
// to one a round while latencies meet their target and the limit is in use,
// and shrinks by a tenth, at most once a round, when they do not.
type concurrencyLimiter struct {
	running atomic.Int64
	limit   atomic.Uint64
	// minLimit, maxLimit and cap bound the limit; cap is the reported capacity share.
	minLimit, maxLimit atomic.Int64
	capacity           atomic.Int64
	// utilized tells that the limit was nearly reached and is still half in use.
	utilized atomic.Bool
	// nextCutAt is the end of the round of the last cut, in Unix nanoseconds.
	nextCutAt atomic.Int64
	// meanDuration is the average time of a request, in nanoseconds.
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
	high := l.maxLimit.Load()

	if c := l.capacity.Load(); c > 0 {
		high = min(high, c)
	}

	v = min(v, float64(high))
	v = max(v, float64(l.minLimit.Load()))
	l.limit.Store(math.Float64bits(v))
}

// setCapacity bounds the limit by the capacity that backend servers report.
func (l *concurrencyLimiter) setCapacity(c int) {
	l.capacity.Store(int64(c))
	l.setLimit(l.current())
}

// acquire takes one slot if there is one.
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

// release gives a slot back and learns from how the request went.
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
	until := l.nextCutAt.Load()
	if now.UnixNano() < until {
		return
	}

	if l.nextCutAt.CompareAndSwap(until, now.Add(round).UnixNano()) {
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

// drainTime estimates how long n queued requests take to be started.
func (l *concurrencyLimiter) drainTime(n float64) time.Duration {
	return time.Duration(n * float64(l.serviceTime()) / l.current())
}
