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

// trial sends one call to one server after the other.
type trial struct {
	plain   *Plain
	request gateway.PlainRequest
	call    *retry.Call
	tried   []fleet.InstanceID
}

func (p *Plain) newTrial(r gateway.PlainRequest) *trial {
	call := retry.NewCall(retry.NewScope(r.Service, r.Account), r.Kind.Idempotent()).WithDeadline(r.Deadline)
	p.Retry.CountCall(p.Clock.Now(), call)

	return &trial{plain: p, request: r, call: call}
}

// again tells whether the call is sent to a further server, and waits until then.
func (t *trial) again(ctx context.Context, err error) bool {
	if ctx.Err() != nil || errors.Is(err, routing.ErrNoServer) {
		return false
	}

	decision := t.plain.Retry.Decide(t.plain.Clock.Now(), discovery.Random{}, t.call, err)
	if !decision.Retry() {
		return false
	}

	if decision.Delay() <= 0 {
		return true
	}

	select {
	case <-t.plain.Clock.After(decision.Delay()):
		return true
	case <-ctx.Done():
		return false
	}
}

// nextBounded leaves time for a further server, so that a server that hangs
// does not use up the deadline. A server gets twice the latency target at least.
func (t *trial) nextBounded(parent context.Context) (backend.Reply, error) {
	left := t.request.Deadline.Sub(t.plain.Clock.Now())
	bound := max(left/attemptShare, attemptTargets*t.request.Kind.LatencyTarget().Whole())

	ctx, cancel := context.WithTimeout(parent, bound)
	defer cancel()

	return t.next(ctx)
}

// next sends the call to a server that was not tried yet.
func (t *trial) next(ctx context.Context) (backend.Reply, error) {
	choice, server, err := t.pick()
	if err != nil {
		return backend.Reply{}, err
	}

	t.tried = append(t.tried, choice.ID())
	start := t.plain.Clock.Now()

	reply, err := server.Plain().Do(ctx, t.request.Call)
	now := t.plain.Clock.Now()

	if err != nil {
		choice.Failed(now, t.failure(err, now.Sub(start)))

		return backend.Reply{}, err
	}

	if reply.Status >= http.StatusInternalServerError {
		choice.Failed(now, routing.FailServer)
	} else {
		choice.Done(now, now.Sub(start), 0)
	}

	return reply, nil
}

// failure tells how a server failed. That a caller gave it less time than the
// latency target says nothing of the server: else one caller's short deadlines
// would eject the servers of all.
func (t *trial) failure(err error, took time.Duration) routing.Failure {
	kind := failureOf(err)
	if kind == routing.FailTimeout && took < t.request.Kind.LatencyTarget().Whole() {
		return routing.FailCancelled
	}

	return kind
}

// pick counts the call as in flight at a server that is not leaving.
func (t *trial) pick() (routing.Choice, *discovery.Server, error) {
	request := routing.NewRequest(routing.NewKey(t.request.Service, "", "", ""))
	if t.request.Kind.Idempotent() {
		request = request.WithRepeatable()
	}

	excluded := t.tried

	for range maxPicks {
		request = request.Excluding(excluded)

		choice, err := t.plain.Table.Pick(t.plain.Clock.Now(), discovery.Random{}, request)
		if err != nil {
			return routing.Choice{}, nil, notSent(err)
		}

		server, ok := t.plain.Directory.Server(choice.ID())
		if ok && choice.Sent(t.plain.Clock.Now()) {
			return choice, server, nil
		}

		excluded = append(slices.Clone(excluded), choice.ID())
	}

	return routing.Choice{}, nil, notSent(routing.ErrNoServer)
}

// refusal tells the caller how a repeatable call ended. That it may have run is
// told too, though it does no harm.
func (t *trial) refusal(ctx context.Context, err error) *refusal.Refusal {
	run := refusal.NotRun
	if t.call.MayHaveRun() {
		run = refusal.Unknown
	}

	code := refusal.ServerRefused

	switch {
	case ctx.Err() != nil:
		code = refusal.DeadlinePassed
	case t.call.MayHaveRun():
		code = refusal.OutcomeUnknown
	case errors.Is(err, routing.ErrNoServer):
		code = refusal.NoServer
	}

	return refusal.New(code, "%v", err).WithRun(run).WithRetryAfter(comeBackSoon)
}
