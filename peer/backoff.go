package peer

import (
	"math/rand/v2"
	"time"
)

const (
	backoffBase = 100 * time.Millisecond
	backoffMax  = 5 * time.Second
	// maxDialAttempts is the number of failed dials in a row after which a remote's
	// queued messages are dropped.
	maxDialAttempts = 5
)

// backoff returns the wait before dial number attempt, counted from 1: it
// doubles up to backoffMax, and half of it is random.
func backoff(attempt int, random *rand.Rand) time.Duration {
	wait := backoffMax
	if shift := attempt - 1; shift < 10 {
		wait = min(backoffBase<<shift, backoffMax)
	}

	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}
