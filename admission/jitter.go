package admission

import (
	"sync/atomic"
	"time"
)

// jitter randomizes retry delays, so that callers that were refused at the same time do not all
// retry at the same time.
type jitter struct {
	seed  uint64
	draws atomic.Uint64
}

const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Minute
	// maxJitterFraction is the largest fraction of a retry delay that is added to it.
	maxJitterFraction = 0.5
)

func (j *jitter) retryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)

	return d + time.Duration(float64(d)*maxJitterFraction*j.next())
}

// next returns a pseudorandom number in [0, 1), by the SplitMix64 generator.
func (j *jitter) next() float64 {
	const (
		increment    = 0x9e3779b97f4a7c15
		multiplier1  = 0xbf58476d1ce4e5b9
		multiplier2  = 0x94d049bb133111eb
		mantissaBits = 53
	)

	z := j.seed + j.draws.Add(1)*increment
	z = (z ^ (z >> 30)) * multiplier1
	z = (z ^ (z >> 27)) * multiplier2
	z ^= z >> 31

	return float64(z>>(64-mantissaBits)) / (1 << mantissaBits)
}
