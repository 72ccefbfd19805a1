package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
)

const (
	// startTimeout is how long after the start of an instance requests wait until it can serve: a
	// few calls of the store and rounds of heartbeats. If the start takes longer, the store or the
	// relays are unavailable for an unknown time.
	startTimeout = 2 * time.Second
	// maxStartWaitShare is the largest fraction of its caller's timeout that a request waits: the
	// rest is needed to serve it.
	maxStartWaitShare = 0.5
	// startPollInterval is how often a starting instance checks whether it can serve.
	startPollInterval = 10 * time.Millisecond
)

// startup delays requests that arrive before this instance can serve. After a loss of all
// instances, callers are sent to instances that have just started.
type startup struct {
	clock clock.Clock
	done  chan struct{}
}

func newStartup(c clock.Clock) *startup {
	return &startup{clock: c, done: make(chan struct{})}
}

// run releases all waiting requests once the instance can serve, after startTimeout, or when ctx
// ends.
func (s *startup) run(ctx context.Context, serving func() bool) {
	defer close(s.done)

	for begun := s.clock.Now(); ctx.Err() == nil && !serving() && s.clock.Now().Sub(begun) < startTimeout; {
		clock.Sleep(ctx, s.clock, startPollInterval)
	}
}

// wait returns when a request may be served or refused. timeout is the caller's timeout; zero is
// unknown.
func (s *startup) wait(ctx context.Context, timeout time.Duration) {
	select {
	case <-s.done:
		return
	default:
	}

	var timedOut <-chan time.Time
	if timeout > 0 {
		timedOut = s.clock.After(time.Duration(float64(timeout) * maxStartWaitShare))
	}

	select {
	case <-s.done:
	case <-timedOut:
	case <-ctx.Done():
	}
}
