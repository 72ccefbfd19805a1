package controller_test

import (
	"sync"
	"time"

	"monsoonlever/clock"
)

// pausableClock delays every wait while it is paused, like a process that is not scheduled.
type pausableClock struct {
	clock.System

	mu     sync.Mutex
	paused chan struct{}
}

func newPausableClock() *pausableClock {
	return &pausableClock{}
}

// pause delays waits that expire before resume until resume is called.
func (c *pausableClock) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.paused == nil {
		c.paused = make(chan struct{})
	}
}

func (c *pausableClock) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()

	if c.paused != nil {
		close(c.paused)
		c.paused = nil
	}
}

// After implements clock.Clock.
func (c *pausableClock) After(d time.Duration) <-chan time.Time {
	out := make(chan time.Time, 1)

	go func() {
		at := <-c.System.After(d)

		c.mu.Lock()
		paused := c.paused
		c.mu.Unlock()

		if paused != nil {
			<-paused
		}

		out <- at
	}()

	return out
}
