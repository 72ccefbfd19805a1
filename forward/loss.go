package forward

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/quarantine"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// terminationDelay is the time from the first connection that a program which ends closes until
// it takes no more.
const terminationDelay = 20 * time.Millisecond

// recordLoss counts against a request that its server ended under it, if it did. Nothing
// but the end of a server that had not said it would leave counts: servers that are
// reclaimed or replaced, or break answers off and go on, say nothing of a request. An end
// counts however long the request had been answered: most at the begin of its answer, where
// few others are with it. begun tells that the answer's header had come.
func (f *Forwarder) recordLoss(ctx context.Context, j *job, a *scheduling.Assignment, begun bool, err error) {
	if !errors.Is(err, upstream.ErrGarbled) || ctx.Err() != nil || a.Leaving() {
		return
	}

	evidence := quarantine.Weak
	if j.route.Kind != ruleset.Streaming || begun && !a.AnswerBegun() {
		evidence = quarantine.Strong
	}

	content, id := j.fingerprint, j.request.ID
	probe := context.WithoutCancel(ctx)

	go func() {
		if !f.terminated(probe, a) {
			return
		}

		now := f.Clock.Now()
		f.Quarantine.RecordLoss(now, content, a.Server(), evidence)
		_, held := f.Quarantine.Quarantined(now, content)
		klog.InfoS("backend server ended under a request", "server", a.ID(), "id", id, "content", content,
			"atBegin", evidence == quarantine.Strong, "held", held)
	}()
}

// terminated reports whether a server has terminated without having said that it would. Requests that
// were lost together share the answer, also one that is noticed after the others have it.
func (f *Forwarder) terminated(ctx context.Context, a *scheduling.Assignment) bool {
	server := upstream.Server{ID: a.ID(), Address: a.Address()}

	ended, _, _ := f.terminationChecks.Do(string(server.ID), func() (any, error) {
		if a.KnownTerminated(f.Clock.Now()) {
			return !a.Leaving(), nil
		}

		clock.Sleep(ctx, f.Clock, terminationDelay)

		if a.Leaving() || !f.Pool.Terminated(ctx, server) || a.Leaving() {
			return false, nil
		}

		a.ReportTerminated(f.Clock.Now())

		return true, nil
	})

	return ended == true
}
