package dispatch

import (
	"context"
	"time"

	"monsoonlever/backend"
	"monsoonlever/claim"
	"monsoonlever/clock"
	"monsoonlever/discovery"
	"monsoonlever/gateway"
	"monsoonlever/refusal"
	"monsoonlever/retry"
	"monsoonlever/routing"
)

const (
	// attemptShare is the part of the time left that one server gets of a call
	// that may be repeated, and attemptTargets the least in latency targets.
	attemptShare   = 2
	attemptTargets = 2
	// comeBackSoon is told where another backend server may be ready soon.
	comeBackSoon = time.Second
)

// Claims runs calls that may not be repeated at most once.
type Claims interface {
	Do(ctx context.Context, a claim.Attempt, send claim.Send) (claim.Verdict, error)
}

// Plain answers calls of plain services. The exported fields are set before Call.
type Plain struct {
	Clock     clock.Clock
	Table     *routing.Table
	Directory *discovery.Directory
	Claims    Claims
	Retry     *retry.Policy
}

var _ gateway.PlainServer = (*Plain)(nil)

// Call returns the reply of the service, or why there is none.
func (p *Plain) Call(ctx context.Context, r gateway.PlainRequest) (backend.Reply, *refusal.Refusal) {
	if r.Kind.Idempotent() {
		return p.callRepeatable(ctx, r)
	}

	return p.callOnce(ctx, r)
}

// callRepeatable tries further servers while the retry policy allows.
func (p *Plain) callRepeatable(parent context.Context, r gateway.PlainRequest) (backend.Reply, *refusal.Refusal) {
	ctx, cancel := context.WithDeadline(parent, r.Deadline)
	defer cancel()

	t := p.newTrial(r)

	for {
		reply, err := t.nextBounded(ctx)
		if err == nil {
			return reply, nil
		}

		if !t.again(ctx, err) {
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

	t := p.newTrial(r)

	for {
		reply, err := t.next(ctx)
		if err == nil {
			return resultOf(reply), nil
		}

		if !t.again(ctx, err) {
			return claim.Result{}, err
		}
	}
}
