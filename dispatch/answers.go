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

// Answers runs retained model answers, which outlive the connection of their caller,
// and continues answers whose previous owner, another entry instance, has left. The
// exported fields must be set before its use.
type Answers struct {
	Clock      clock.Clock
	Replicator *answer.Replicator
	Runner     *answer.Runner
	// Budget counts requests; the retries of Runner are limited to a share of them.
	Budget *retry.Budget
	// CopyTimeout limits the wait for a copy in another failure domain.
	CopyTimeout time.Duration
	// GracePeriod is how long an answer continues after its last caller has
	// disconnected.
	GracePeriod time.Duration

	mu      sync.Mutex
	running map[answer.RequestID]*runningAnswer
	group   conc.WaitGroup
}

var _ gateway.RetainedAnswers = (*Answers)(nil)

// runningAnswer is an answer that this instance generates.
type runningAnswer struct {
	epoch  answer.Epoch
	cancel context.CancelFunc
	// done is closed when the answer is cancelled or has ended.
	done <-chan struct{}
	// async answers continue without a caller.
	async     bool
	followers int
	// releases counts how often the last caller disconnected, so that the end of an earlier
	// grace period does not abandon the answer during a later one.
	releases int
	// followedElsewhereAt is when another instance last reported that a caller reads the
	// answer there.
	followedElsewhereAt time.Time
}

// Start starts to answer a request. If durable is set, it returns an error if no other
// failure domain has confirmed a copy within CopyTimeout.
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

// Continue continues an answer whose owner, another entry instance, no longer runs it.
func (a *Answers) Continue(c answer.Continue) {
	a.run(c.Request, c.Epoch, c.Kept, true, func(answer.Result) {})
}

// Stop cancels an answer whose ownership by this instance has ended. A later ownership
// of the same answer is not affected.
func (a *Answers) Stop(s answer.Stop) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if r, ok := a.running[s.ID]; ok && r.epoch == s.Epoch {
		r.cancel()
	}
}

// StopAll cancels all answers on this instance. Answers that were handed off continue
// on other instances.
func (a *Answers) StopAll() {
	a.mu.Lock()
	defer a.mu.Unlock()

	for _, r := range a.running {
		r.cancel()
	}
}

// Wait blocks until no answer runs on this instance.
func (a *Answers) Wait() {
	a.group.Wait()
}

func (a *Answers) run(
	r answer.Request, epoch answer.Epoch, tokens []string, async bool, ended func(answer.Result),
) {
	ctx, cancel := context.WithCancel(context.Background())

	a.mu.Lock()

	if a.running == nil {
		a.running = make(map[answer.RequestID]*runningAnswer)
	}

	running := &runningAnswer{epoch: epoch, cancel: cancel, done: ctx.Done(), async: async}
	a.running[r.ID] = running
	a.mu.Unlock()

	a.group.Go(func() {
		defer cancel()

		result := a.Runner.Continue(ctx, r, epoch, tokens, a.Replicator.Sink(r.ID, epoch))
		a.remove(r.ID, running)
		ended(result)
	})
}

// remove removes an answer, unless a later ownership has replaced it.
func (a *Answers) remove(id answer.RequestID, running *runningAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if a.running[id] == running {
		delete(a.running, id)
	}
}

// Follow writes an answer to a caller, starting after the given event. Any instance may
// be generating the answer.
func (a *Answers) Follow(ctx context.Context, account fleet.Account, after answer.EventID, to answer.Caller) error {
	a.addFollowers(after.Request, 1)
	defer a.addFollowers(after.Request, -1)

	return a.Replicator.Follow(ctx, account, after, to)
}

func (a *Answers) addFollowers(id answer.RequestID, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if r, ok := a.running[id]; ok {
		r.followers += n
	}
}

// Release abandons an answer if no caller follows it by the end of the grace period.
// Async answers are never abandoned.
func (a *Answers) Release(id answer.RequestID) {
	a.mu.Lock()

	r, ok := a.running[id]
	if !ok || r.async || r.followers > 0 {
		a.mu.Unlock()

		return
	}

	r.releases++
	release := r.releases
	a.mu.Unlock()

	a.group.Go(func() {
		for remaining := a.GracePeriod; remaining > 0; remaining = a.abandonUnread(id, r, release) {
			select {
			case <-a.Clock.After(remaining):
			case <-r.done:
				return
			}
		}
	})
}

// MarkFollowed records that a caller reads an answer of this instance through another
// instance.
func (a *Answers) MarkFollowed(id answer.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()

	if r, ok := a.running[id]; ok {
		r.followedElsewhereAt = a.Clock.Now()
	}
}

// abandonUnread abandons an answer that no caller reads. It returns 0 if the answer was
// abandoned or is no longer subject to this release. If a caller read it through another
// instance during the grace period, it returns the time until the next check.
func (a *Answers) abandonUnread(id answer.RequestID, r *runningAnswer, release int) time.Duration {
	a.mu.Lock()
	remaining := r.followedElsewhereAt.Add(a.GracePeriod).Sub(a.Clock.Now())
	obsolete := a.running[id] != r || r.followers > 0 || r.releases != release
	a.mu.Unlock()

	switch {
	case obsolete:
		return 0
	case remaining > 0:
		return remaining
	}

	a.Replicator.Abandon(id, r.epoch)
	r.cancel()

	return 0
}
