package clock

import (
	"sync"
	"time"
)

// Manual is a clock that advances only when Advance is called. It is safe for concurrent use.
type Manual struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	dueAt time.Time
	ch    chan time.Time
}

// NewManual returns a clock whose time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start}
}

// Now returns the time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()

	return m.now
}

// After returns a channel that receives the time once the clock has advanced by d. It receives
// immediately if d is not positive.
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

// Advance advances the clock by d and wakes every waiter that is due.
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
