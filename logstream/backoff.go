package logstream

import (
	"math/rand/v2"
	"time"
)

// The range of waits after failed calls to the log.
const (
	backoffFirst = 50 * time.Millisecond
	backoffMost  = 5 * time.Second
)

// Backoff is the exponential wait with jitter after failures in a row.
type Backoff struct {
	// Rand brings the jitter.
	Rand *rand.Rand

	failures int
}

// Failed counts a failure and returns how long to wait: at least half of the
// exponential step, and at most all of it.
func (b *Backoff) Failed() time.Duration {
	step := backoffMost
	if b.failures < 7 {
		step = min(backoffMost, backoffFirst<<b.failures)
	}

	b.failures++
	half := step / 2

	return half + time.Duration(b.Rand.Int64N(int64(half)))
}

// Succeeded starts again from the shortest wait.
func (b *Backoff) Succeeded() { b.failures = 0 }

// Failures returns the number of failures in a row.
func (b *Backoff) Failures() int { return b.failures }
