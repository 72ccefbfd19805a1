package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
)

const (
	// startTimeout is how long after the start of an instance requests wait for it to be able to
	// serve: a few calls of the store and rounds of heartbeats. If it takes longer, the store or
	// the relays are away and nobody knows until when.
	startTimeout = 2 * time.Second
	// maxStartWaitShare is the part of its caller's time that a request waits at most: the rest is
	// needed to serve it.
	maxStartWaitShare = 0.5
	// startPollInterval is how often an instance that starts looks whether it can serve.
	startPollInterval = 10 * time.Millisecond
)

// startup holds requests that arrive before this instance can serve any. After a loss of all
// instances callers are sent to those that have just started.
type startup struct {
	clock clock.Clock
	done  chan struct{}
}

func newStartup(c clock.Clock) *startup {
	return &startup{clock: c, done: make(chan struct{})}
}

// run ends the wait of all requests once the instance can serve, after startPatience, or when ctx
// ends.
func (s *startup) run(ctx context.Context, serving func() bool) {
	defer close(s.done)

	for begun := s.clock.Now(); ctx.Err() == nil && !serving() && s.clock.Now().Sub(begun) < startTimeout; {
		clock.Sleep(ctx, s.clock, startPollInterval)
	}
}

// wait returns when a request may be served or refused. timeout is how long its caller waits;
// zero is not known.
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
