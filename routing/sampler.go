package routing

import "sort"

// sampler draws items by weight. It is immutable.
type sampler[T any] struct {
	items []T
	// upTo holds the sums of the weights up to and with each item.
	upTo []float64
}

func newSampler[T any](items []T, weight func(T) float64) sampler[T] {
	s := sampler[T]{items: items, upTo: make([]float64, 0, len(items))}
	sum := 0.0

	for _, item := range items {
		sum += weight(item)
		s.upTo = append(s.upTo, sum)
	}

	return s
}

// draw returns the index of one item; there must be one.
func (s *sampler[T]) draw(r Random) int {
	last := len(s.upTo) - 1
	at := fraction(r) * s.upTo[last]

	return min(sort.SearchFloat64s(s.upTo, at), last)
}
