package burn

import (
	"cmp"
	"math"
	"slices"
	"time"
)

func reasonsSorted(in []ReasonCount) []ReasonCount {
	out := slices.Clone(in)
	slices.SortFunc(out, func(a, b ReasonCount) int { return cmp.Compare(a.Reason, b.Reason) })

	return out
}

func pointsSorted(in []Point) []Point {
	out := slices.Clone(in)
	slices.SortFunc(out, func(a, b Point) int { return a.At.Compare(b.At) })

	return out
}

func exactQuantile(all []time.Duration, q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(all))

	return sorted[int(math.Ceil(q*float64(len(sorted))))-1]
}
