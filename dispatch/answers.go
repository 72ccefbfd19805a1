package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"monsoonlever/answer"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/gateway"
	"monsoonlever/retry"
)

// Answers keeps model answers beyond the connection of their caller: it runs
// them for their owner, and goes on with those that another entry instance left.
// The exported fields are set before its use.
type Answers struct {
	Clock      clock.Clock
	Replicator *answer.Replicator
	Runner     *answer.Runner
	// Budget counts the requests that the Runner's retries are a share of.
	Budget *retry.Budget
	// CopyTimeout bounds the wait for a copy in another failure domain.
	CopyTimeout time.Duration
	// GracePeriod is how long an answer goes on without a caller.
	GracePeriod time.Duration

	mu      sync.Mutex
	running map[answer.RequestID]*runningAnswer
	group   conc.WaitGroup
}

var _ gateway.RetainedAnswers = (*Answers)(nil)

// runningAnswer is an answer that this instance works at.
type runningAnswer struct {
	epoch  answer.Epoch
	cancel context.CancelFunc
	// over is closed when the work at it is to end.
	over <-chan struct{}
	// async answers need no caller.
	async     bool
	followers int
	// released counts how often the last caller went, so that a later grace
	// period is not ended by an earlier one.
	released int
	// followedAt is when a caller was last known to read it elsewhere.
	followedAt time.Time
}

// Start begins to answer a request.
func (a *Answers) Start(ctx context.Context, r gateway.ModelRequest, durable bool, ended func(answer.Result)) error {
	a.Budget.CountRequest(a.Clock.Now())

	if !durable {
		a.run(r.Answer, a.Replicator.Keep(r.Answer), nil, false, ended)

		return nil
	}

	epoch, err := a.Replicator.Accept(ctx, r.Answer, a.CopyTimeout)
	if err != nil {
		a.Replicator.Abandon(r.Answer.ID, epoch)

		return err
	}

	a.run(r.Answer, epoch, nil, true, ended)

	return nil
}

// Continue goes on with an answer that another entry instance left.
func (a *Answers) Continue(c answer.Continue) {
	a.run(c.Request, c.Epoch, c.Kept, true, func(answer.Result) {})
}

// Stop ends the work at an answer under an ownership that is over.
func (a *Answers) Stop(s answer.Stop) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if r, ok := a.running[s.ID]; ok && r.epoch == s.Epoch {
		r.cancel()
	}
}

// StopAll ends the work at every answer. Those that were handed off go on
// elsewhere.
func (a *Answers) StopAll() {
	a.mu.Lock()
	defer a.mu.Unlock()

	for _, r := range a.running {
		r.cancel()
	}
}

// Wait returns once no answer runs here any more.
func (a *Answers) Wait() {
	a.group.Wait()
}

func (a *Answers) run(
	r answer.Request, epoch answer.Epoch, kept []string, async bool, ended func(answer.Result),
) {
	ctx, cancel := context.WithCancel(context.Background())

	a.mu.Lock()

	if a.running == nil {
		a.running = make(map[answer.RequestID]*runningAnswer)
	}

	own := &runningAnswer{epoch: epoch, cancel: cancel, over: ctx.Done(), async: async}
	a.running[r.ID] = own
	a.mu.Unlock()

	a.group.Go(func() {
		defer cancel()

		result := a.Runner.Continue(ctx, r, epoch, kept, a.Replicator.Sink(r.ID, epoch))
		a.forget(r.ID, own)
		ended(result)
	})
}

// forget drops an answer, unless a later ownership has taken its place.
func (a *Answers) forget(id answer.RequestID, own *runningAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.running[id] == own {
		delete(a.running, id)
	}
}

// Follow passes an answer on to a caller, whichever instance works at it.
func (a *Answers) Follow(ctx context.Context, account fleet.Account, after answer.EventID, to answer.Caller) error {
	a.count(after.Request, 1)
	defer a.count(after.Request, -1)

	return a.Replicator.Follow(ctx, account, after, to)
}

func (a *Answers) count(id answer.RequestID, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if r, ok := a.running[id]; ok {
		r.followers += n
	}
}

// Release gives up an answer that nobody follows by the end of the grace period.
func (a *Answers) Release(id answer.RequestID) {
	a.mu.Lock()

	r, ok := a.running[id]
	if !ok || r.async || r.followers > 0 {
		a.mu.Unlock()

		return
	}

	r.released++
	released := r.released
	a.mu.Unlock()

	a.group.Go(func() {
		for left := a.GracePeriod; left > 0; left = a.giveUp(id, r, released) {
			select {
			case <-a.Clock.After(left):
			case <-r.over:
				return
			}
		}
	})
}

// MarkFollowed notes that a caller reads an answer of this instance elsewhere.
func (a *Answers) MarkFollowed(id answer.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if r, ok := a.running[id]; ok {
		r.followedAt = a.Clock.Now()
	}
}

// giveUp ends the work at an answer that nobody wants. For one that is read
// elsewhere it returns when to look again.
func (a *Answers) giveUp(id answer.RequestID, r *runningAnswer, released int) time.Duration {
	a.mu.Lock()
	left := r.followedAt.Add(a.GracePeriod).Sub(a.Clock.Now())
	wanted := a.running[id] != r || r.followers > 0 || r.released != released
	a.mu.Unlock()

	switch {
	case wanted:
		return 0
	case left > 0:
		return left
	}

	a.Replicator.Abandon(id, r.epoch)
	r.cancel()

	return 0
}
