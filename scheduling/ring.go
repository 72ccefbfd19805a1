package scheduling

// ring holds the newest speedSamples values. The zero value is empty.
type ring[T any] struct {
	values []T
	next   int
}

func (r *ring[T]) add(value T) {
	if len(r.values) < speedSamples {
		r.values = append(r.values, value)

		return
	}

	r.values[r.next] = value
	r.next = (r.next + 1) % speedSamples
}
