package admission

// deadlineHeap orders queued tickets by their latest start.
type deadlineHeap []*Ticket

// Len returns the number of tickets.
func (h deadlineHeap) Len() int { return len(h) }

// Less orders by latest start.
func (h deadlineHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }

// Swap exchanges two tickets.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a *Ticket, for container/heap.
func (h *deadlineHeap) Push(x any) {
	t, ok := x.(*Ticket)
	if !ok {
		return
	}

	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop removes the last ticket, for container/heap.
func (h *deadlineHeap) Pop() any {
	old := *h
	last := len(old) - 1
	t := old[last]
	old[last] = nil
	t.heapIndex = notInHeap
	*h = old[:last]

	return t
}
