package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
)

// slots lets a number of calls run at a time and a number wait, those with the
// greater priority first.
type slots struct {
	clock    clock.Clock
	lag      time.Duration
	capacity int
	queue    int

	mu      sync.Mutex
	running int
	waiting []*slotWaiter
	seen    lagged[backend.LoadReport]
}

type slotWaiter struct {
	priority fleet.Priority
	granted  chan struct{}
}

func newSlots(c clock.Clock, lag time.Duration, capacity, queue int) *slots {
	s := &slots{clock: c, lag: lag, capacity: capacity, queue: queue}
	s.report()

	return s
}

// acquire waits for a slot, or refuses where too many wait already.
func (s *slots) acquire(ctx context.Context, priority fleet.Priority) error {
	w, err := s.enter(priority)
	if err != nil {
		return err
	}

	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		s.leave(w)

		return merry.Prepend(errNotStarted, "wait for a slot", merry.WithCause(ctx.Err()))
	}
}

func (s *slots) enter(priority fleet.Priority) (*slotWaiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.report()

	w := &slotWaiter{priority: priority, granted: make(chan struct{})}

	if s.running < s.capacity {
		s.running++
		close(w.granted)

		return w, nil
	}

	if len(s.waiting) >= s.queue {
		return nil, merry.Prepend(errNotStarted, "queue is full")
	}

	at := slices.IndexFunc(s.waiting, func(o *slotWaiter) bool { return o.priority < priority })
	if at < 0 {
		at = len(s.waiting)
	}

	s.waiting = slices.Insert(s.waiting, at, w)

	return w, nil
}

// leave gives up a wait that may have been granted meanwhile.
func (s *slots) leave(w *slotWaiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.report()

	if at := slices.Index(s.waiting, w); at >= 0 {
		s.waiting = slices.Delete(s.waiting, at, at+1)

		return
	}

	s.next()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.report()

	s.next()
}

// next hands a free slot to the first that waits.
func (s *slots) next() {
	if len(s.waiting) == 0 {
		s.running--

		return
	}

	close(s.waiting[0].granted)
	s.waiting = s.waiting[1:]
}

func (s *slots) report() {
	s.seen.set(s.clock, s.lag, backend.LoadReport{
		Running:  s.running,
		Waiting:  len(s.waiting),
		Capacity: s.capacity,
	})
}

// load returns the load as it was a lag ago.
func (s *slots) load(leaving bool) backend.LoadReport {
	report := s.seen.get(s.clock, s.lag)
	report.At = s.clock.Now().Add(-s.lag)
	report.Capacity = s.capacity
	report.Leaving = leaving

	return report
}

func (s *slots) runningNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.running
}
