package comparison

import (
	"container/heap"
	"time"
)

// schedule runs events in the order of their time.
type schedule struct {
	now    time.Duration
	number uint64
	events eventHeap
}

type event struct {
	at     time.Duration
	number uint64
	run    func()
}

func (s *schedule) after(d time.Duration, run func()) {
	s.number++
	heap.Push(&s.events, event{at: s.now + d, number: s.number, run: run})
}

// every repeats an event until the end.
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
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}

	return h[i].number < h[j].number
}

// Push implements heap.Interface.
func (h *eventHeap) Push(e any) { *h = append(*h, e.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]

	return e
}
