package routing

import "sort"

// sampler draws random items by weight. It is immutable.
type sampler[T any] struct {
	items []T
	// cumulative holds, for each item, the sum of the weights up to and including it.
	cumulative []float64
}

func newSampler[T any](items []T, weight func(T) float64) sampler[T] {
	s := sampler[T]{items: items, cumulative: make([]float64, 0, len(items))}
	total := 0.0

	for _, item := range items {
		total += weight(item)
		s.cumulative = append(s.cumulative, total)
	}

	return s
}

// draw returns the index of a random item; there must be at least one item.
func (s *sampler[T]) draw(r Random) int {
	last := len(s.cumulative) - 1
	target := fraction(r) * s.cumulative[last]

	return min(sort.SearchFloat64s(s.cumulative, target), last)
}
