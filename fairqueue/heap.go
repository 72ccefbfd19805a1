package fairqueue

import "container/heap"

// Heap is a binary heap whose elements can be removed and moved in O(log n).
type Heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// position returns where an element stores its index plus one; zero is not in the heap.
	position func(T) *int
}

// NewHeap returns an empty heap whose first element is the least. position returns the variable of
// an element that the heap uses to find it; it must be zero initially.
func NewHeap[T any](less func(a, b T) bool, position func(T) *int) *Heap[T] {
	return &Heap[T]{less: less, position: position}
}

// Count returns the number of elements.
func (h *Heap[T]) Count() int { return len(h.items) }

// First returns the least element. The heap must not be empty.
func (h *Heap[T]) First() T { return h.items[0] }

// Add adds an element that is not in the heap.
func (h *Heap[T]) Add(x T) { heap.Push((*heapItems[T])(h), x) }

// Remove removes an element. It does nothing if the element isn't in the heap.
func (h *Heap[T]) Remove(x T) {
	if i := *h.position(x); i > 0 {
		heap.Remove((*heapItems[T])(h), i-1)
	}
}

// Fix moves an element of the heap after its order has changed.
func (h *Heap[T]) Fix(x T) { heap.Fix((*heapItems[T])(h), *h.position(x)-1) }

// heapItems implements the interface of container/heap.
type heapItems[T any] Heap[T]

// Len returns the number of elements.
func (h *heapItems[T]) Len() int { return len(h.items) }

// Less compares two elements.
func (h *heapItems[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap exchanges two elements.
func (h *heapItems[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.position(h.items[i]) = i + 1
	*h.position(h.items[j]) = j + 1
}

// Push appends an element of type T.
func (h *heapItems[T]) Push(x any) {
	item, ok := x.(T)
	if !ok {
		return
	}

	h.items = append(h.items, item)
	*h.position(item) = len(h.items)
}

// Pop removes the last element.
func (h *heapItems[T]) Pop() any {
	var zero T

	last := len(h.items) - 1
	item := h.items[last]
	h.items[last] = zero
	h.items = h.items[:last]
	*h.position(item) = 0

	return item
}
