package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// terminationDelay is the time that a terminating process takes from closing its first
// connection until it accepts no new ones.
const terminationDelay = 20 * time.Millisecond

// recordLoss checks in the background whether the server crashed while it served the
// request, and records that in the quarantine ledger. A server that announced it would leave
// does not count, nor does one that aborts a response and keeps running: both say nothing
// about the request. A crash counts however long the response has been streamed. It is
// strong evidence at the start of a response, when few other requests are in the same state,
// and weak evidence otherwise. headerReceived reports whether the header of the response was
// received. A loss before the first event of a response counts against the parts of the prompt as well:
// an engine may crash before it has sent the header. Checks of losses that may quarantine something are
// added to those that the request waits for.
func (f *Forwarder) recordLoss(ctx context.Context, j *job, a *scheduling.Assignment, headerReceived bool, err error) {
	if !errors.Is(err, upstream.ErrGarbled) || ctx.Err() != nil || a.Leaving() {
		return
	}

	evidence, begun := quarantine.Weak, headerReceived && a.AnswerBegun()
	if j.route.Kind != ruleset.Streaming || headerReceived && !begun {
		evidence = quarantine.Strong
	}

	fingerprint, id, prompt, parts := j.fingerprint, j.request.ID, j.request.Prompt, j.parts
	checkCtx, lostAt := context.WithoutCancel(ctx), f.Clock.Now()
	checked := make(chan struct{})

	if !begun {
		j.lossChecks = append(j.lossChecks, checked)
	}

	go func() {
		defer close(checked)

		if !f.terminated(checkCtx, a, lostAt) {
			if evidence == quarantine.Strong {
				klog.InfoS("answer broke off at its begin and its backend server was not found to have ended", "server", a.ID(),
					"id", id, "content", fingerprint, "leaving", a.Leaving(), "mostPathsLost", a.MostPathsLost(f.Clock.Now()), "parts", loggedParts(prompt))
			}

			return
		}

		f.Quarantine.RecordLoss(lostAt, fingerprint, a.Server(), evidence)

		if !begun && len(parts) > 0 {
			f.Parts.RecordCrash(lostAt, a.Server(), parts)
		}

		_, quarantined := f.Quarantine.Quarantined(f.Clock.Now(), fingerprint)
		klog.InfoS("backend server ended under a request", "server", a.ID(), "id", id, "content", fingerprint,
			"atBegin", evidence == quarantine.Strong, "held", quarantined, "parts", loggedParts(prompt))
	}()
}

// maxLossWait bounds the time that a request waits for the checks of its lost servers: that of a check and
// of some round trips. While most paths are lost, checks take seconds.
const maxLossWait = 2 * terminationDelay

// awaitLossChecks waits until it is known whether servers that lost the request before the first event of its
// answer have crashed. Otherwise a request that crashes servers would go on from one to the next, by this instance
// or by its caller, faster than any instance finds out.
func (j *job) awaitLossChecks(ctx context.Context) {
	if len(j.lossChecks) == 0 {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, maxLossWait)
	defer cancel()

	for _, checked := range j.lossChecks {
		select {
		case <-checked:
		case <-ctx.Done():
			return
		}
	}
}

// maxLoggedParts bounds the parts of a prompt in a line of the log.
const maxLoggedParts = 8

// loggedParts returns the parts of a prompt that other requests may share.
func loggedParts(p scheduling.Prompt) []string {
	shared := p.SharedSegments()

	var ids []string
	for _, segment := range shared[:min(len(shared), maxLoggedParts)] {
		ids = append(ids, segment.ID)
	}

	return ids
}

// checkEnd returns an error if a response that ends with its connection may have been ended by the end of
// its server's process, which closes connections as well. The response counts as whole only if the server
// accepts a connection after it: a server that has left, or to which there is no path, shows nothing. The
// error wraps upstream.ErrGarbled.
func (f *Forwarder) checkEnd(ctx context.Context, a *scheduling.Assignment, response *upstream.Response) error {
	if !response.EndsWithConnection() || f.running(ctx, a) {
		return nil
	}

	return merry.Prepend(upstream.ErrGarbled, "server may have ended with its response")
}

// running reports whether the process of a server is shown to run. Requests don't share the check: one
// that began before a response ended says nothing of the time after it.
func (f *Forwarder) running(ctx context.Context, a *scheduling.Assignment) bool {
	if a.KnownTerminated(f.Clock.Now()) {
		return false
	}

	clock.Sleep(ctx, f.Clock, terminationDelay)

	server := upstream.Server{ID: a.ID(), Address: a.Address()}
	if path := f.healthPath(a.Service()); path != "" {
		return f.identifies(ctx, server, path)
	}

	return !a.AddressTaken() && f.Pool.Accepts(ctx, server)
}

// healthPath returns the path at which servers of a service tell their health, if they do.
func (f *Forwarder) healthPath(service fleet.Service) string {
	rules := f.Rules.Load()
	if rules == nil {
		return ""
	}

	if known := rules.Service(service); known != nil {
		return known.HealthPath
	}

	return ""
}

// identityTimeout bounds the wait for a server that is asked who it is.
const identityTimeout = time.Second

// identifies reports whether the process at the address of a server is that server. Another one accepts
// connections there as well.
func (f *Forwarder) identifies(ctx context.Context, server upstream.Server, path string) bool {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()

	id := "health-" + strconv.FormatUint(rand.Uint64(), 16) //nolint:gosec // not used for security

	status, header, err := f.Pool.Ask(ctx, server, f.Protocol.EncodeIdentityCheck(server, id, path))
	if err != nil || !f.Protocol.Identifies(server, id, status, header) {
		klog.InfoS("backend server is not shown to run after a response without a length", "server", server.ID, "status", status, "err", err)

		return false
	}

	return true
}

// terminated reports whether the process of a server that lost a request has terminated without
// announcing that it would leave. Requests that are lost together share one check, and a loss that is
// detected after the check uses the result that the scheduler has recorded.
func (f *Forwarder) terminated(ctx context.Context, a *scheduling.Assignment, lostAt time.Time) bool {
	server := upstream.Server{ID: a.ID(), Address: a.Address()}

	terminated, _, _ := f.terminationChecks.Do(a.Server().String(), func() (any, error) {
		if a.KnownTerminated(f.Clock.Now()) {
			return !a.Leaving(), nil
		}

		clock.Sleep(ctx, f.Clock, terminationDelay)

		if a.Leaving() || !f.Pool.Terminated(ctx, server) || a.Leaving() {
			return false, nil
		}

		if a.MostPathsLost(f.Clock.Now()) && !f.endedBesideOthers(ctx, a, lostAt) {
			return false, nil
		}

		a.ReportTerminated(f.Clock.Now())

		return true, nil
	})

	return terminated == true
}
