package burn

import (
	"sync"
	"sync/atomic"
	"time"
)

// slot counts the requests of one stretch of time.
type slot struct {
	// number is the stretch, counted from the epoch.
	number   atomic.Int64
	requests atomic.Uint64
	good     atomic.Uint64
}

// ring holds the latest slots of one window.
type ring struct {
	shape windowShape
	slots []slot
	// mu is held only while a slot is taken over for a new stretch.
	mu sync.Mutex
}

func newRing(s windowShape) *ring {
	return &ring{shape: s, slots: make([]slot, s.slots)}
}

func (r *ring) number(now time.Time) int64 {
	return now.UnixNano() / int64(r.shape.slot)
}

func (r *ring) add(now time.Time, good bool) {
	number := r.number(now)
	s := &r.slots[number%int64(len(r.slots))]

	if s.number.Load() != number {
		r.takeOver(s, number)
	}

	s.requests.Add(1)

	if good {
		s.good.Add(1)
	}
}

func (r *ring) takeOver(s *slot, number int64) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if s.number.Load() >= number {
		return
	}

	s.requests.Store(0)
	s.good.Store(0)
	s.number.Store(number)
}

// window returns what the ring holds of the time before now.
func (r *ring) window(now time.Time) Window {
	w := Window{Name: r.shape.name, Slot: r.shape.slot}
	last := r.number(now)

	for n := last - int64(len(r.slots)) + 1; n <= last; n++ {
		s := &r.slots[n%int64(len(r.slots))]
		if s.number.Load() != n {
			continue
		}

		w.add(Point{
			At:       time.Unix(0, n*int64(r.shape.slot)).UTC(),
			Requests: s.requests.Load(),
			Good:     s.good.Load(),
		})
	}

	return w
}
