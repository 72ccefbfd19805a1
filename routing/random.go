package routing

// Random is a source of random numbers, as rand.Source of math/rand/v2.
type Random interface {
	Uint64() uint64
}

const (
	fractionBits  = 53
	fractionShift = 64 - fractionBits
)

// fraction returns a number in [0, 1).
func fraction(r Random) float64 {
	return float64(r.Uint64()>>fractionShift) / (1 << fractionBits)
}
