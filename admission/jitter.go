package admission

import (
	"sync/atomic"
	"time"
)

// jitter spreads times to come back, so that callers who were refused
// together do not return together.
type jitter struct {
	seed uint64
	n    atomic.Uint64
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Minute
	// jitterPart is the greatest part that is added to a time to come back.
	jitterPart = 0.5
)

func (j *jitter) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)

	return d + time.Duration(float64(d)*jitterPart*j.next())
}

// next returns a number from 0 to 1, by the SplitMix64 generator.
func (j *jitter) next() float64 {
	const (
		step   = 0x9e3779b97f4a7c15
		first  = 0xbf58476d1ce4e5b9
		second = 0x94d049bb133111eb
		bits   = 53
	)

	z := j.seed + j.n.Add(1)*step
	z = (z ^ (z >> 30)) * first
	z = (z ^ (z >> 27)) * second
	z ^= z >> 31

	return float64(z>>(64-bits)) / (1 << bits)
}
