package claim

// expiryQueue contains the keys in the order in which their expiry is to be checked.
// lastRecord of an item is the key's last record when the item was added.
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

// compactThreshold is the minimum number of removed items before their memory is released.
const compactThreshold = 1024

func (q *expiryQueue) pop() {
	q.head++

	if q.head >= compactThreshold && q.head*2 >= len(q.items) {
		q.items = append([]expiryItem(nil), q.items[q.head:]...)
		q.head = 0
	}
}
