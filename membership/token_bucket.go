package membership

import "time"

// tokenBucket limits a rate. Its tokens are bytes or changes.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens accrued since the last call, up to burst. The first
// call fills the bucket.
func (b *tokenBucket) refill(now time.Time, rate, burst float64) {
	if b.refilledAt.IsZero() {
		b.tokens = burst
	} else if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(burst, b.tokens+rate*passed.Seconds())
	}

	b.refilledAt = now
}

// take removes n tokens and reports whether the bucket held that many.
func (b *tokenBucket) take(n float64) bool {
	if b.tokens < n {
		return false
	}

	b.tokens -= n

	return true
}
