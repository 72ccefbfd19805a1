package entry

// maxPackedBytes bounds the size of the items in one datagram: with the rest of the message it
// stays below gossip.MaxMessageBytes.
const maxPackedBytes = 1150

// pack divides items into batches that each fit into a datagram. size returns an upper bound of an
// item's encoded size.
func pack[T any](items []T, size func(T) int) [][]T {
	return packWithin(items, maxPackedBytes, size)
}

func packWithin[T any](items []T, maxBytes int, size func(T) int) [][]T {
	var batches [][]T

	first, sum := 0, 0

	for i, item := range items {
		n := size(item)
		if i > first && sum+n > maxBytes {
			batches = append(batches, items[first:i])
			first, sum = i, 0
		}

		sum += n
	}

	if first < len(items) {
		batches = append(batches, items[first:])
	}

	return batches
}
