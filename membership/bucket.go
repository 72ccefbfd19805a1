package membership

import "time"

// tokenBucket bounds a rate; tokens are bytes or changes.
type tokenBucket struct {
	tokens float64
	last   time.Time
}

// refill adds what has accrued since the last call, up to burst.
func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	if b.last.IsZero() {
		b.tokens = burst
	} else if passed := now.Sub(b.last); passed > 0 {
		b.tokens = min(burst, b.tokens+rate*passed.Seconds())
	}

	b.last = now
}

// take spends n tokens if there are as many.
func (b *tokenBucket) take(n float64) bool {
	if b.tokens < n {
		return false
	}

	b.tokens -= n

	return true
}
