package ratelimit

import (
	"math"
	"time"
)

const (
	// burstSpan is how much of its rate a server may get at once after it had less.
	burstSpan = 250 * time.Millisecond
	// leastBurst is one request: a rate of less than one in burstSpan could grant none.
	leastBurst = 1
)

// bucket is a token bucket whose rate may change. Tokens below zero are promised to
// requests that wait for them.
type bucket struct {
	tokens float64
	at     time.Time
}

// take takes a token and returns how long the request has to wait for it. If that is
// longer than patience it takes none and returns false.
func (b *bucket) take(now time.Time, rate float64, patience time.Duration) (time.Duration, bool) {
	b.fill(now, rate)

	wait := time.Duration(math.Ceil(max(1-b.tokens, 0) / rate * float64(time.Second)))
	if wait > patience {
		return wait, false
	}

	b.tokens--

	return wait, true
}

// empty drops the tokens that were saved up.
func (b *bucket) empty(now time.Time) {
	b.tokens = min(b.tokens, 0)
	b.at = now
}

func (b *bucket) fill(now time.Time, rate float64) {
	burst := max(rate*burstSpan.Seconds(), leastBurst)
	passed := max(now.Sub(b.at), 0)
	b.tokens = min(b.tokens+rate*passed.Seconds(), burst)
	b.at = now
}
