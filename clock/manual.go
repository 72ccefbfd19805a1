package clock

import (
	"sync"
	"time"
)

// Manual is a clock that moves only when Advance is called.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	dueAt time.Time
	ch    chan time.Time
}

// NewManual returns a clock that stands at start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time the clock stands at.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now
}

// After returns a channel that receives once Advance has passed d.
func (m *Manual) After(d time.Duration) <-chan time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()

	ch := make(chan time.Time, 1)
	at := m.now.Add(d)

	if !at.After(m.now) {
		ch <- m.now

		return ch
	}

	m.waiters = append(m.waiters, waiter{dueAt: at, ch: ch})

	return ch
}

// Advance moves the clock by d and wakes every waiter whose time has come.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()

	m.now = m.now.Add(d)
	remaining := m.waiters[:0]

	for _, w := range m.waiters {
		if w.dueAt.After(m.now) {
			remaining = append(remaining, w)

			continue
		}

		w.ch <- m.now
	}

	m.waiters = remaining
}
