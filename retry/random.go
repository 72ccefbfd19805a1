package retry

import "time"

// Random is a source of random numbers, such as rand.Source of math/rand/v2.
type Random interface {
	Uint64() uint64
}

const (
	fractionBits  = 53
	fractionShift = 64 - fractionBits
)

// randomBelow returns a uniformly distributed duration in [0, d).
func randomBelow(random Random, d time.Duration) time.Duration {
	fraction := float64(random.Uint64()>>fractionShift) / (1 << fractionBits)

	return time.Duration(fraction * float64(d))
}
