package membership

import "time"

// tokenBucket bounds a rate; tokens are bytes or changes.
type tokenBucket struct {
	tokens float64
	refilledAt   time.Time
}

// refill adds what has accrued since the last call, up to burst.
func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(burst, b.tokens+rate*passed.Seconds())
	}

	b.refilledAt = now
}

// take spends n tokens if there are as many.
func (b *tokenBucket) take(n float64) bool {
	if b.tokens < n {
		return false
	}

	b.tokens -= n

	return true
}
