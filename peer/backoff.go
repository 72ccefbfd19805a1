package peer

import (
	"math/rand/v2"
	"time"
)

const (
	backoffBase = 100 * time.Millisecond
	backoffMax  = 5 * time.Second
	// maxDialAttempts is the number of consecutive failed dials after which the
	// messages queued for a remote are dropped.
	maxDialAttempts = 5
)

// backoff returns the delay after failed dial number attempt, counted from 1. It
// doubles from backoffBase up to backoffMax; half of it is random jitter.
func backoff(attempt int, random *rand.Rand) time.Duration {
	wait := backoffMax
	if shift := attempt - 1; shift < 10 {
		wait = min(backoffBase<<shift, backoffMax)
	}

	return wait/2 + time.Duration(random.Int64N(int64(wait/2)))
}
