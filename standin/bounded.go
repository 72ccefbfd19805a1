package standin

// bounded is a map that forgets its oldest entry when it holds too many.
type bounded[K comparable, V any] struct {
	limit  int
	values map[K]V
	order  []K
}

func newBounded[K comparable, V any](limit int) *bounded[K, V] {
	return &bounded[K, V]{limit: limit, values: make(map[K]V)}
}

func (b *bounded[K, V]) get(key K) (V, bool) {
	value, ok := b.values[key]

	return value, ok
}

func (b *bounded[K, V]) put(key K, value V) {
	if _, ok := b.values[key]; !ok {
		b.order = append(b.order, key)
	}

	b.values[key] = value

	if len(b.order) > b.limit {
		delete(b.values, b.order[0])
		b.order = b.order[1:]
	}
}
