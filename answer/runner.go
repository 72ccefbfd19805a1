package answer

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/backend"
	"monsoonlever/clock"
)

// Runner carries out the commands of Relays. The exported fields are set
// before Run, which may be called for many requests at once.
type Runner struct {
	Clock   clock.Clock
	Picker  Picker
	Engines EngineSource
	Budget  RetryBudget
	Limits  Limits
	// Leaving tells of reclaims; nil means that there are none.
	Leaving *Leaving
	// Exports plans the export of KV caches; nil means that none is exported.
	Exports ExportSource
	// CancelTimeout bounds a call that cancels an attempt.
	CancelTimeout time.Duration

	group conc.WaitGroup
}

// Wait returns once the streams and calls that outlived their requests have
// ended. A request does not wait for them.
func (r *Runner) Wait() { r.group.Wait() }

// Run answers a request and returns once the sink has its final answer.
func (r *Runner) Run(ctx context.Context, request Request, sink Sink) Result {
	return r.Continue(ctx, request, Epoch{}, nil, sink)
}

// Continue answers a request under an ownership epoch, after the tokens that
// are kept of it.
func (r *Runner) Continue(ctx context.Context, request Request, epoch Epoch, kept []string, sink Sink) Result {
	attemptsCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	u := &run{
		runner:  r,
		request: request,
		sink:    sink,
		ctx:     attemptsCtx,
		relay: &Relay{
			Request:  request.ID,
			Epoch:    epoch,
			Kept:     kept,
			Deadline: request.Deadline,
			Budget:   r.Budget,
			Limits:   r.Limits,
		},
		arrivals: make(chan arrival, arrivalBuffer),
		open:     make(map[backend.AttemptID]*attempt),
	}

	u.loop(ctx.Done())
	stop()

	result := u.result()
	count(result)

	return result
}
