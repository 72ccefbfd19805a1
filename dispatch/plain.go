package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"monsoonlever/backend"
	"monsoonlever/claim"
	"monsoonlever/clock"
	"monsoonlever/discovery"
	"monsoonlever/fleet"
	"monsoonlever/gateway"
	"monsoonlever/refusal"
	"monsoonlever/routing"
)

const (
	// maxAttempts bounds the backend servers that one call is sent to.
	maxAttempts = 4
	// comeBackSoon is told where another backend server may be ready soon.
	comeBackSoon = time.Second
)

// Claims runs calls that may not be repeated at most once.
type Claims interface {
	Do(ctx context.Context, a claim.Attempt, send claim.Send) (claim.Verdict, error)
}

// RetryBudget bounds the extra load that retries bring.
type RetryBudget interface {
	Take(now time.Time) bool
}

// Plain answers calls of plain services. The exported fields are set before Call.
type Plain struct {
	Clock     clock.Clock
	Table     *routing.Table
	Directory *discovery.Directory
	Claims    Claims
	Budget    RetryBudget
}

var _ gateway.PlainServer = (*Plain)(nil)

// Call returns the reply of the service, or why there is none.
func (p *Plain) Call(ctx context.Context, r gateway.PlainRequest) (backend.Reply, *refusal.Refusal) {
	if r.Kind.Idempotent() {
		return p.callRepeatable(ctx, r)
	}

	return p.callOnce(ctx, r)
}

// callRepeatable tries further servers while the deadline and the budget allow.
func (p *Plain) callRepeatable(parent context.Context, r gateway.PlainRequest) (backend.Reply, *refusal.Refusal) {
	ctx, cancel := context.WithDeadline(parent, r.Deadline)
	defer cancel()

	t := trial{plain: p, request: r, repeatable: true}

	for {
		reply, err := t.next(ctx)
		if err == nil {
			return reply, nil
		}

		if t.done(ctx, err) || !p.Budget.Take(p.Clock.Now()) {
			return backend.Reply{}, t.refusal(ctx, err)
		}
	}
}

// callOnce claims the call's key first, and sends the call only if it won.
func (p *Plain) callOnce(ctx context.Context, r gateway.PlainRequest) (backend.Reply, *refusal.Refusal) {
	attempt := claim.Attempt{
		Key:      claim.NewKey(r.Service, r.Account, r.Call.IdempotencyKey),
		Digest:   claim.DigestOf([]byte(r.Call.Method), []byte(r.Call.Path), r.Call.Body),
		Deadline: r.Deadline,
	}

	verdict, err := p.Claims.Do(ctx, attempt, func(ctx context.Context) (claim.Result, error) {
		return p.send(ctx, r)
	})
	if err != nil {
		return backend.Reply{}, refusal.New(refusal.DeadlinePassed, "no outcome is known yet: %v", err).
			WithRetryAfter(comeBackSoon)
	}

	return replyOf(verdict)
}

// send makes a call whose key was won. Only a server that certainly did not run
// it is followed by another. The caller may go, the call goes on to its deadline.
func (p *Plain) send(parent context.Context, r gateway.PlainRequest) (claim.Result, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(parent), r.Deadline)
	defer cancel()

	t := trial{plain: p, request: r}

	for {
		reply, err := t.next(ctx)
		if err == nil {
			return resultOf(reply), nil
		}

		if t.mayHaveRun || t.done(ctx, err) {
			return claim.Result{}, err
		}
	}
}

// trial sends one call to one server after the other.
type trial struct {
	plain      *Plain
	request    gateway.PlainRequest
	repeatable bool
	tried      []fleet.InstanceID
	mayHaveRun bool
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
		choice.Failed(now, failureOf(err))
		t.mayHaveRun = t.mayHaveRun || !isNotRun(err)

		return backend.Reply{}, err
	}

	if reply.Status >= http.StatusInternalServerError {
		choice.Failed(now, routing.FailServer)
	} else {
		choice.Done(now, now.Sub(start), 0)
	}

	return reply, nil
}

// pick counts the call as in flight at a server that is not leaving.
func (t *trial) pick() (routing.Choice, *discovery.Server, error) {
	request := routing.NewRequest(routing.NewKey(t.request.Service, "", "", "")).Excluding(t.tried)
	if t.repeatable {
		request = request.WithRepeatable()
	}

	for range maxPicks {
		choice, err := t.plain.Table.Pick(t.plain.Clock.Now(), discovery.Random{}, request)
		if err != nil {
			return routing.Choice{}, nil, notSent(err)
		}

		server, ok := t.plain.Directory.Server(choice.ID())
		if ok && choice.Sent(t.plain.Clock.Now()) {
			return choice, server, nil
		}
	}

	return routing.Choice{}, nil, notSent(routing.ErrNoServer)
}

// done tells whether no further server is to be tried.
func (t *trial) done(ctx context.Context, err error) bool {
	return ctx.Err() != nil || len(t.tried) >= maxAttempts || errors.Is(err, routing.ErrNoServer)
}

// refusal tells the caller how a repeatable call ended. That it may have run is
// told too, though it does no harm.
func (t *trial) refusal(ctx context.Context, err error) *refusal.Refusal {
	run := refusal.NotRun
	if t.mayHaveRun {
		run = refusal.Unknown
	}

	code := refusal.ServerRefused

	switch {
	case ctx.Err() != nil:
		code = refusal.DeadlinePassed
	case t.mayHaveRun:
		code = refusal.OutcomeUnknown
	case errors.Is(err, routing.ErrNoServer):
		code = refusal.NoServer
	}

	return refusal.New(code, "%v", err).WithRun(run).WithRetryAfter(comeBackSoon)
}

func isNotRun(err error) bool {
	return errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrRefused)
}
