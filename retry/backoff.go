package retry

import (
	"cmp"
	"time"
)

// maxDoublings keeps the doubled delay from overflowing a time.Duration.
const maxDoublings = 16

// Backoff is an exponential backoff with full jitter: calls that failed at the
// same time are not retried at the same time. A zero field selects its default.
type Backoff struct {
	// Initial bounds the delay after the first failed attempt: 20 ms by default.
	Initial time.Duration
	// Max bounds every delay: 2 s by default.
	Max time.Duration
}

// Delay returns a random delay before the next attempt, after the given number
// of failed attempts.
func (b Backoff) Delay(random Random, failed int) time.Duration {
	first := cmp.Or(b.Initial, 20*time.Millisecond)
	atMost := cmp.Or(b.Max, 2*time.Second)
	doublings := min(max(failed-1, 0), maxDoublings)

	return randomBelow(random, min(first<<doublings, atMost))
}
