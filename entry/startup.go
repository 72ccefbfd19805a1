package entry

import (
	"context"
	"time"

	"monsoonlever/clock"
)

const (
	// startPatience is how long after the start of an instance requests wait for it to be able to
	// serve: a few calls of the store and rounds of heartbeats. If it takes longer, the store or
	// the relays are away and nobody knows until when.
	startPatience = 2 * time.Second
	// startShare is the part of its caller's time that a request waits at most: the rest is
	// needed to serve it.
	startShare = 0.5
	// startLook is how often an instance that starts looks whether it can serve.
	startLook = 10 * time.Millisecond
)

// startup holds requests that arrive before this instance can serve any. After a loss of all
// instances callers are sent to those that have just started.
type startup struct {
	clock clock.Clock
	over  chan struct{}
}

func newStartup(c clock.Clock) *startup {
	return &startup{clock: c, over: make(chan struct{})}
}

// run ends the wait of all requests once the instance can serve, after startPatience, or when ctx
// ends.
func (s *startup) run(ctx context.Context, serving func() bool) {
	defer close(s.over)

	for begun := s.clock.Now(); ctx.Err() == nil && !serving() && s.clock.Now().Sub(begun) < startPatience; {
		clock.Sleep(ctx, s.clock, startLook)
	}
}

// wait returns when a request may be served or refused. timeout is how long its caller waits;
// zero is not known.
func (s *startup) wait(ctx context.Context, timeout time.Duration) {
	select {
	case <-s.over:
		return
	default:
	}

	var late <-chan time.Time
	if timeout > 0 {
		late = s.clock.After(time.Duration(float64(timeout) * startShare))
	}

	select {
	case <-s.over:
	case <-late:
	case <-ctx.Done():
	}
}
