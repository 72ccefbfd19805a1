package entry

// maxPackedBytes is what the items of one datagram take at most: with the rest of the message
// it stays below gossip.MaxWord.
const maxPackedBytes = 1150

// pack divides items so that each part fits into a datagram, however many there are. size
// returns at least what an item takes.
func pack[T any](items []T, size func(T) int) [][]T {
	return packWithin(items, maxPackedBytes, size)
}

func packWithin[T any](items []T, maxBytes int, size func(T) int) [][]T {
	var groups [][]T

	first, sum := 0, 0

	for i, item := range items {
		n := size(item)
		if i > first && sum+n > maxBytes {
			groups = append(groups, items[first:i])
			first, sum = i, 0
		}

		sum += n
	}

	if first < len(items) {
		groups = append(groups, items[first:])
	}

	return groups
}
