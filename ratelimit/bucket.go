package ratelimit

import (
	"math"
	"time"
)

const (
	// burstWindow bounds the burst that a server may receive after it received less than its
	// rate: the tokens of this window.
	burstWindow = 250 * time.Millisecond
	// minBurst is one request: at a rate of less than one request per burstWindow, a smaller
	// burst would grant none.
	minBurst = 1
)

// bucket is a token bucket whose rate may change. A negative number of tokens means that
// tokens are reserved for requests that wait for them.
type bucket struct {
	tokens    float64
	updatedAt time.Time
}

// take takes a token and returns how long the request has to wait for it. If that exceeds
// maxWait, take leaves the token and returns false.
func (b *bucket) take(now time.Time, rate float64, maxWait time.Duration) (time.Duration, bool) {
	b.refill(now, rate)

	wait := time.Duration(math.Ceil(max(1-b.tokens, 0) / rate * float64(time.Second)))
	if wait > maxWait {
		return wait, false
	}

	b.tokens--

	return wait, true
}

// discardSaved discards the tokens that accumulated, and keeps reservations.
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
