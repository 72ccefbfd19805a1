package retry

import (
	"cmp"
	"time"
)

// maxDoublings keeps the backoff from overflowing.
const maxDoublings = 16

// Backoff is a wait that doubles with each attempt and is random in full, so
// that calls which failed together don't come back together. A zero field
// stands for its default.
type Backoff struct {
	Initial time.Duration
	Max     time.Duration
}

// Delay returns the wait after the given number of failed attempts.
func (b Backoff) Delay(random Random, failed int) time.Duration {
	first := cmp.Or(b.Initial, 20*time.Millisecond)
	atMost := cmp.Or(b.Max, 2*time.Second)
	doublings := min(max(failed-1, 0), maxDoublings)

	return randomBelow(random, min(first<<doublings, atMost))
}
