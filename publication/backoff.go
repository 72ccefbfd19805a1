package publication

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// backoff spaces the retries of a call to the log, with full jitter.
type backoff struct {
	random *rand.Rand
	bound  time.Duration
}

// next returns how long to wait before the next try.
func (b *backoff) next() time.Duration {
	b.bound = min(max(2*b.bound, minBackoff), maxBackoff)

	return time.Duration(b.random.Int64N(int64(b.bound))) + 1
}

// reset forgets the failures.
func (b *backoff) reset() {
	b.bound = 0
}
