package forward

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

const (
	// harmfulWithin is how long after its first event a request may still be what ended
	// its server: one that ends a server does so at its begin. Those that were seen had
	// ended it before their first whole event, within 0.2 s of being sent. Streams that run
	// beside it have run for seconds as a rule, and are spared.
	harmfulWithin = 500 * time.Millisecond
	// endingTime is the time from the first connection that a program which ends closes
	// until it takes no more.
	endingTime = 20 * time.Millisecond
)

// lostWith counts against a request that its server ended under it, if it did. Nothing
// but the end of a server that had not said it would leave counts: servers that are
// reclaimed or replaced, or break answers off and go on, say nothing of a request.
func (f *Forwarder) lostWith(ctx context.Context, j *job, a *scheduling.Assignment, err error) {
	now := f.Clock.Now()

	switch {
	case !errors.Is(err, upstream.ErrGarbled) || ctx.Err() != nil || a.Leaving():
		return
	case a.AnsweringFor(now) > harmfulWithin:
		return
	}

	content, id := j.content, j.request.ID
	probe := context.WithoutCancel(ctx)

	go func() {
		if !f.ended(probe, a) {
			return
		}

		now := f.Clock.Now()
		f.Quarantine.Lost(now, content, a.Server())
		_, held := f.Quarantine.Held(now, content)
		klog.InfoS("backend server ended under a request", "server", a.ID(), "id", id, "content", content, "held", held)
	}()
}

// ended tells whether a server has ended without having said that it would. Requests that
// were lost together share the answer.
func (f *Forwarder) ended(ctx context.Context, a *scheduling.Assignment) bool {
	server := upstream.Server{ID: a.ID(), Address: a.Address()}

	ended, _, _ := f.endings.Do(string(server.ID), func() (any, error) {
		clock.Sleep(ctx, f.Clock, endingTime)

		return !a.Leaving() && f.Pool.Ended(ctx, server) && !a.Leaving(), nil
	})

	return ended == true
}
