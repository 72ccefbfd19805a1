package standin

import (
	"sync"
	"time"

	"monsoonlever/clock"
)

// lagged is a value that is seen only some time after it was set.
type lagged[T any] struct {
	mu     sync.Mutex
	states []laggedState[T]
}

type laggedState[T any] struct {
	at    time.Time
	value T
}

// set stores a value as of now and forgets what nobody can see any more.
func (l *lagged[T]) set(c clock.Clock, lag time.Duration, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()

	now := c.Now()
	l.trim(now.Add(-lag))
	l.states = append(l.states, laggedState[T]{at: now, value: value})
}

// get returns the value as it was a lag ago, or the zero value.
func (l *lagged[T]) get(c clock.Clock, lag time.Duration) T {
	l.mu.Lock()
	defer l.mu.Unlock()

	seen := c.Now().Add(-lag)
	l.trim(seen)

	if len(l.states) == 0 || l.states[0].at.After(seen) {
		var zero T

		return zero
	}

	return l.states[0].value
}

// trim leaves the newest value of the seen time, and those after it.
func (l *lagged[T]) trim(seen time.Time) {
	for len(l.states) > 1 && !l.states[1].at.After(seen) {
		l.states = l.states[1:]
	}
}
