package fairqueue

import "time"

// Entry is a request in a queue. Its exported fields must not be changed while it is queued.
type Entry[F Flow, T any] struct {
	Value T
	Flow  F
	// Rank orders requests; the lowest goes first.
	Rank int
	// Cost is the estimated work of the request; at least 1 is counted. Bytes is the memory that
	// it holds.
	Cost  float64
	Bytes int64
	// ArrivedAt orders the requests of a flow.
	ArrivedAt time.Time

	queued bool
	// sequence orders requests that arrived at the same time. It is zero until the request is
	// first added.
	sequence uint64

	// left, right, heapKey, size and costSum belong to the tree of the flow.
	left, right *Entry[F, T]
	heapKey     uint64
	size        int
	costSum     float64
}

// Queued reports whether the request is in a queue.
func (e *Entry[F, T]) Queued() bool { return e.queued }

// work returns the cost that is counted.
func (e *Entry[F, T]) work() float64 {
	if e.Cost > 1 {
		return e.Cost
	}

	return 1
}

// before reports whether e precedes other in its flow. A request that was not added yet follows
// those of the same time.
func (e *Entry[F, T]) before(other *Entry[F, T]) bool {
	if c := e.ArrivedAt.Compare(other.ArrivedAt); c != 0 {
		return c < 0
	}

	return e.sequence != 0 && (other.sequence == 0 || e.sequence < other.sequence)
}
