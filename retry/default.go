package retry

// orDefault returns value, or other where value is zero.
func orDefault[T comparable](value, other T) T {
	var zero T
	if value == zero {
		return other
	}

	return value
}
