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
	// An attempt at an idempotent call gets the remaining time divided by attemptDivisor,
	// but at least minAttemptTargets times the latency target.
	attemptDivisor    = 2
	minAttemptTargets = 2
	// defaultRetryAfter is the Retry-After of refusals after which another backend server
	// may be available soon.
	defaultRetryAfter = time.Second
)

// Claims runs non-idempotent calls at most once.
type Claims interface {
	// Do claims the key of an attempt, calls send if the attempt won the claim, and
	// returns the verdict. It returns the error of ctx if ctx ends first; a call that
	// was sent then continues.
	Do(ctx context.Context, a claim.Attempt, send claim.Send) (claim.Verdict, error)
}

// Plain answers calls of plain services. The exported fields must be set before Call
// is used.
type Plain struct {
	Clock     clock.Clock
	Table     *routing.Table
	Directory *discovery.Directory
	Claims    Claims
	Retry     *retry.Policy
}

var _ gateway.PlainServer = (*Plain)(nil)

// Call returns the reply of the service, or a refusal if there is none.
func (p *Plain) Call(ctx context.Context, r gateway.PlainRequest) (backend.Reply, *refusal.Refusal) {
	if r.Kind.Idempotent() {
		return p.callIdempotent(ctx, r)
	}

	return p.callOnce(ctx, r)
}

// callIdempotent sends a call to one server after another while the retry policy
// allows.
func (p *Plain) callIdempotent(parent context.Context, r gateway.PlainRequest) (backend.Reply, *refusal.Refusal) {
	ctx, cancel := context.WithDeadline(parent, r.Deadline)
	defer cancel()

	f := p.newFailover(r)

	for {
		reply, err := f.sendNextBounded(ctx)
		if err == nil {
			return reply, nil
		}

		if !f.waitForRetry(ctx, err) {
			return backend.Reply{}, f.refusal(ctx, err)
		}
	}
}

// callOnce claims the idempotency key of a call and sends the call only if it won the
// claim.
func (p *Plain) callOnce(ctx context.Context, r gateway.PlainRequest) (backend.Reply, *refusal.Refusal) {
	attempt := claim.Attempt{
		Key:      claim.NewKey(r.Service, r.Account, r.Call.IdempotencyKey),
		Digest:   claim.DigestOf([]byte(r.Call.Method), []byte(r.Call.Path), r.Call.Body),
		Deadline: r.Deadline,
	}

	verdict, err := p.Claims.Do(ctx, attempt, func(ctx context.Context) (claim.Result, error) {
		return p.sendClaimed(ctx, r)
	})
	if err != nil {
		return backend.Reply{}, refusal.New(refusal.DeadlinePassed, "no outcome is known yet: %v", err).
			WithRetryAfter(defaultRetryAfter)
	}

	return replyOf(verdict)
}

// sendClaimed sends a call whose claim was won. It tries another server only if the previous
// one certainly did not run the call. The call continues until its deadline even if the
// caller disconnects.
func (p *Plain) sendClaimed(parent context.Context, r gateway.PlainRequest) (claim.Result, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(parent), r.Deadline)
	defer cancel()

	t := p.newFailover(r)

	for {
		reply, err := t.sendNext(ctx)
		if err == nil {
			return resultOf(reply), nil
		}

		if !t.waitForRetry(ctx, err) {
			return claim.Result{}, err
		}
	}
}
