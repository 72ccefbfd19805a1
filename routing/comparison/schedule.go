package comparison

import (
	"container/heap"
	"time"
)

// schedule is an event queue in simulated time. Events with the same time run in the
// order in which they were added.
type schedule struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

type scheduledEvent struct {
	dueAt    time.Duration
	sequence uint64
	run      func()
}

func (s *schedule) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, scheduledEvent{dueAt: s.now + d, sequence: s.sequence, run: run})
}

// every runs an event each interval d until the end time.
func (s *schedule) every(d, end time.Duration, run func()) {
	s.after(d, func() {
		run()

		if s.now < end {
			s.every(d, end, run)
		}
	})
}

func (s *schedule) runAll() {
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(scheduledEvent)
		s.now = e.dueAt
		e.run()
	}
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].dueAt != h[j].dueAt {
		return h[i].dueAt < h[j].dueAt
	}

	return h[i].sequence < h[j].sequence
}

// Push implements heap.Interface.
func (h *eventHeap) Push(e any) { *h = append(*h, e.(scheduledEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]

	return e
}
