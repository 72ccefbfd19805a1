package claim

// expiryQueue holds the keys in the order of the time at which they were last
// looked at, to find those to forget.
type expiryQueue struct {
	items []expiryItem
	head  int
}

type expiryItem struct {
	key        KeyID
	lastRecord int64
}

func (q *expiryQueue) push(item expiryItem) {
	q.items = append(q.items, item)
}

func (q *expiryQueue) front() (expiryItem, bool) {
	if q.head == len(q.items) {
		return expiryItem{}, false
	}

	return q.items[q.head], true
}

// compactThreshold is the number of items taken off before their room is given back.
const compactThreshold = 1024

func (q *expiryQueue) pop() {
	q.head++

	if q.head >= compactThreshold && q.head*2 >= len(q.items) {
		q.items = append([]expiryItem(nil), q.items[q.head:]...)
		q.head = 0
	}
}
