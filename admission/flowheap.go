package admission

// flowHeap orders the flows that have queued requests by their virtual start time.
type flowHeap []*flow

// Len returns the number of flows.
func (h flowHeap) Len() int { return len(h) }

// Less orders by virtual start time, and by account name so that ties are deterministic.
func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualStart != h[j].virtualStart {
		return h[i].virtualStart < h[j].virtualStart
	}

	return h[i].account.name < h[j].account.name
}

// Swap exchanges two flows.
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a *flow, for container/heap.
func (h *flowHeap) Push(x any) {
	f, ok := x.(*flow)
	if !ok {
		return
	}

	f.heapIndex = len(*h)
	*h = append(*h, f)
}

// Pop removes the last flow, for container/heap.
func (h *flowHeap) Pop() any {
	old := *h
	last := len(old) - 1
	f := old[last]
	old[last] = nil
	f.heapIndex = notInHeap
	*h = old[:last]

	return f
}
