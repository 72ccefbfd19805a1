package ratelimit

import (
	"math"
	"time"
)

const (
	// burstWindow is how much of its rate a server may get at once after it had less.
	burstWindow = 250 * time.Millisecond
	// minBurst is one request: a rate of less than one in burstSpan could grant none.
	minBurst = 1
)

// bucket is a token bucket whose rate may change. Tokens below zero are promised to
// requests that wait for them.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// take takes a token and returns how long the request has to wait for it. If that is
// longer than patience it takes none and returns false.
func (b *bucket) take(now time.Time, rate float64, maxWait time.Duration) (time.Duration, bool) {
	b.refill(now, rate)

	wait := time.Duration(math.Ceil(max(1-b.tokens, 0) / rate * float64(time.Second)))
	if wait > maxWait {
		return wait, false
	}

	b.tokens--

	return wait, true
}

// discardSaved drops the tokens that were saved up.
func (b *bucket) discardSaved(now time.Time) {
	b.tokens = min(b.tokens, 0)
	b.updatedAt = now
}

func (b *bucket) refill(now time.Time, rate float64) {
	burst := max(rate*burstWindow.Seconds(), minBurst)
	elapsed := max(now.Sub(b.updatedAt), 0)
	b.tokens = min(b.tokens+rate*elapsed.Seconds(), burst)
	b.updatedAt = now
}
