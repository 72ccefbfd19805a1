package entry

// packBytes is what the items of one datagram take at most: with the rest of the message
// it stays below gossip.MaxWord.
const packBytes = 1150

// pack divides items so that each part fits into a datagram, however many there are. size
// returns at least what an item takes.
func pack[T any](items []T, size func(T) int) [][]T {
	return packInto(items, packBytes, size)
}

func packInto[T any](items []T, most int, size func(T) int) [][]T {
	var parts [][]T

	first, sum := 0, 0

	for i, item := range items {
		bytes := size(item)
		if i > first && sum+bytes > most {
			parts = append(parts, items[first:i])
			first, sum = i, 0
		}

		sum += bytes
	}

	if first < len(items) {
		parts = append(parts, items[first:])
	}

	return parts
}
