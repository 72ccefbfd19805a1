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
	First  time.Duration
	AtMost time.Duration
}

// Wait returns the wait after the given number of failed attempts.
func (b Backoff) Wait(random Random, failed int) time.Duration {
	first := cmp.Or(b.First, 20*time.Millisecond)
	atMost := cmp.Or(b.AtMost, 2*time.Second)
	doublings := min(max(failed-1, 0), maxDoublings)

	return upTo(random, min(first<<doublings, atMost))
}
