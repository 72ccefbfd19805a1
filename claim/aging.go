package claim

// agingQueue holds the keys in the order of the time at which they were last
// looked at, to find those to forget.
type agingQueue struct {
	items []agingItem
	head  int
}

type agingItem struct {
	key     KeyID
	touched int64
}

func (q *agingQueue) push(item agingItem) {
	q.items = append(q.items, item)
}

func (q *agingQueue) front() (agingItem, bool) {
	if q.head == len(q.items) {
		return agingItem{}, false
	}

	return q.items[q.head], true
}

// compactAt is the number of items taken off before their room is given back.
const compactAt = 1024

func (q *agingQueue) pop() {
	q.head++

	if q.head >= compactAt && q.head*2 >= len(q.items) {
		q.items = append([]agingItem(nil), q.items[q.head:]...)
		q.head = 0
	}
}
