package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// limiter adapts a concurrency limit to the measured latency: it grows by up
// to one a round while latencies meet their target and the limit is in use,
// and shrinks by a tenth, at most once a round, when they do not.
type limiter struct {
	running atomic.Int64
	limit   atomic.Uint64
	// low, high and cap bound the limit; cap is the reported capacity share.
	low, high atomic.Int64
	cap       atomic.Int64
	// used tells that the limit was nearly reached and is still half in use.
	used atomic.Bool
	// cutUntil is the end of the round of the last cut, in Unix nanoseconds.
	cutUntil atomic.Int64
	// mean is the average time of a request, in nanoseconds.
	mean atomic.Uint64
}

const (
	cutFactor  = 0.9
	usedFactor = 0.8
	idleFactor = 0.5
	meanWeight = 0.1
)

func (l *limiter) configure(s ServiceConfig) {
	l.low.Store(int64(s.MinConcurrent))
	l.high.Store(int64(s.MaxConcurrent))

	if l.limit.Load() == 0 {
		l.setLimit(float64(s.StartConcurrent))
	}

	l.setLimit(l.current())
}

func (l *limiter) current() float64 {
	return math.Float64frombits(l.limit.Load())
}

func (l *limiter) setLimit(v float64) {
	high := l.high.Load()

	if c := l.cap.Load(); c > 0 {
		high = min(high, c)
	}

	v = min(v, float64(high))
	v = max(v, float64(l.low.Load()))
	l.limit.Store(math.Float64bits(v))
}

// setCap bounds the limit by the capacity that backend servers report.
func (l *limiter) setCap(c int) {
	l.cap.Store(int64(c))
	l.setLimit(l.current())
}

// acquire takes one slot if there is one.
func (l *limiter) acquire() bool {
	allowed := int64(l.current())

	for {
		running := l.running.Load()
		if running >= allowed {
			return false
		}

		if l.running.CompareAndSwap(running, running+1) {
			if float64(running+1) >= usedFactor*float64(allowed) && !l.used.Load() {
				l.used.Store(true)
			}

			return true
		}
	}
}

// release gives a slot back and learns from how the request went.
func (l *limiter) release(now time.Time, target time.Duration, o Outcome) {
	running := l.running.Add(-1) + 1
	limit := l.current()
	l.learnMean(o.Duration)

	if float64(running) < idleFactor*limit {
		l.used.Store(false)
	}

	late := target > 0 && o.Latency > target
	if late || o.Overloaded {
		l.cut(now, max(o.Latency, target))

		return
	}

	if l.used.Load() {
		l.setLimit(limit + 1/limit)
	}
}

func (l *limiter) cut(now time.Time, round time.Duration) {
	until := l.cutUntil.Load()
	if now.UnixNano() < until {
		return
	}

	if l.cutUntil.CompareAndSwap(until, now.Add(round).UnixNano()) {
		l.setLimit(l.current() * cutFactor)
	}
}

func (l *limiter) learnMean(d time.Duration) {
	if d <= 0 {
		return
	}

	mean := math.Float64frombits(l.mean.Load())
	if mean == 0 {
		mean = float64(d)
	}

	mean += meanWeight * (float64(d) - mean)
	l.mean.Store(math.Float64bits(mean))
}

// serviceTime estimates how long one request runs.
func (l *limiter) serviceTime() time.Duration {
	return time.Duration(math.Float64frombits(l.mean.Load()))
}

// drain estimates how long n queued requests take to be started.
func (l *limiter) drain(n float64) time.Duration {
	return time.Duration(n * float64(l.serviceTime()) / l.current())
}
