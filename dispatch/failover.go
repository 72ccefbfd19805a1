package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"monsoonlever/backend"
	"monsoonlever/discovery"
	"monsoonlever/fleet"
	"monsoonlever/gateway"
	"monsoonlever/refusal"
	"monsoonlever/retry"
	"monsoonlever/routing"
)

// failover sends one call to one server after another until a server replies or no
// retry is allowed.
type failover struct {
	plain   *Plain
	request gateway.PlainRequest
	call    *retry.Call
	tried   []fleet.InstanceID
}

func (p *Plain) newFailover(r gateway.PlainRequest) *failover {
	call := retry.NewCall(retry.NewScope(r.Service, r.Account), r.Kind.Idempotent()).WithDeadline(r.Deadline)
	p.Retry.CountCall(p.Clock.Now(), call)

	return &failover{plain: p, request: r, call: call}
}

// waitForRetry reports whether the call may be sent to another server after err. It waits
// for the retry delay before it returns true.
func (f *failover) waitForRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, routing.ErrNoServer) {
		return false
	}

	decision := f.plain.Retry.Decide(f.plain.Clock.Now(), discovery.Random{}, f.call, err)
	if !decision.Retry() {
		return false
	}

	if decision.Delay() <= 0 {
		return true
	}

	select {
	case <-f.plain.Clock.After(decision.Delay()):
		return true
	case <-ctx.Done():
		return false
	}
}

// sendNextBounded sends the call with a timeout that leaves time for another server, so
// that a server that hangs does not use up the deadline. The timeout is at least twice
// the latency target.
func (f *failover) sendNextBounded(parent context.Context) (backend.Reply, error) {
	remaining := f.request.Deadline.Sub(f.plain.Clock.Now())
	timeout := max(remaining/attemptDivisor, minAttemptTargets*f.request.Kind.LatencyTarget().Whole())

	ctx, cancel := context.WithTimeout(parent, timeout)
	defer cancel()

	return f.sendNext(ctx)
}

// sendNext sends the call to a server that it has not been sent to yet.
func (f *failover) sendNext(ctx context.Context) (backend.Reply, error) {
	choice, server, err := f.pick()
	if err != nil {
		return backend.Reply{}, err
	}

	f.tried = append(f.tried, choice.ID())
	start := f.plain.Clock.Now()

	reply, err := server.Plain().Do(ctx, f.request.Call)
	now := f.plain.Clock.Now()

	if err != nil {
		choice.Failed(now, f.classify(err, now.Sub(start)))

		return backend.Reply{}, err
	}

	if reply.Status >= http.StatusInternalServerError {
		choice.Failed(now, routing.FailServer)
	} else {
		choice.Done(now, now.Sub(start), 0)
	}

	return reply, nil
}

// classify returns the failure to report to the routing table. A timeout shorter than the
// latency target counts as cancelled, not as a failure of the server: otherwise the short
// deadlines of one caller would eject servers for all callers.
func (f *failover) classify(err error, took time.Duration) routing.Failure {
	kind := failureOf(err)
	if kind == routing.FailTimeout && took < f.request.Kind.LatencyTarget().Whole() {
		return routing.FailCancelled
	}

	return kind
}

// pick picks a server that is not leaving and counts the call as in flight there.
func (f *failover) pick() (routing.Choice, *discovery.Server, error) {
	request := routing.NewRequest(routing.NewKey(f.request.Service, "", "", ""))
	if f.request.Kind.Idempotent() {
		request = request.WithIdempotent()
	}

	excluded := f.tried

	for range maxPicks {
		request = request.Excluding(excluded)

		choice, err := f.plain.Table.Pick(f.plain.Clock.Now(), discovery.Random{}, request)
		if err != nil {
			return routing.Choice{}, nil, notSent(err)
		}

		server, ok := f.plain.Directory.Server(choice.ID())
		if ok && choice.Begin(f.plain.Clock.Now()) {
			return choice, server, nil
		}

		excluded = append(slices.Clone(excluded), choice.ID())
	}

	return routing.Choice{}, nil, notSent(routing.ErrNoServer)
}

// refusal returns the refusal of an idempotent call. It reports a call that may have run
// as such, although repeating an idempotent call does no harm.
func (f *failover) refusal(ctx context.Context, err error) *refusal.Refusal {
	run := refusal.NotRun
	if f.call.MayHaveRun() {
		run = refusal.Unknown
	}

	code := refusal.ServerRefused

	switch {
	case ctx.Err() != nil:
		code = refusal.DeadlinePassed
	case f.call.MayHaveRun():
		code = refusal.OutcomeUnknown
	case errors.Is(err, routing.ErrNoServer):
		code = refusal.NoServer
	}

	return refusal.New(code, "%v", err).WithRun(run).WithRetryAfter(defaultRetryAfter)
}
