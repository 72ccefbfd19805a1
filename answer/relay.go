package answer

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Relay is the step machine of one answer. The exported fields are set before
// Start. A slice of commands is valid until the next step.
type Relay struct {
	Request RequestID
	// Epoch is the ownership, which sets the attempts of different owners of a
	// request apart.
	Epoch Epoch
	// Kept holds the tokens that an earlier owner left.
	Kept     []string
	Deadline time.Time
	Budget   RetryBudget
	Limits   Limits

	phase       phase
	prefix      string
	attempt     backend.AttemptID
	attempts    int
	failures    int
	server      fleet.InstanceID
	kept        []string
	excluded    []fleet.InstanceID
	leaving     map[fleet.InstanceID]time.Time
	wakeAt      time.Time
	moveAt      time.Time
	searchSince time.Time
	mayHaveRun  bool
	drops       Drops
	forward     Forward
	out         []Command
}

// Start makes the first attempt.
func (r *Relay) Start(now time.Time) []Command {
	r.out = r.out[:0]
	number := strconv.FormatUint(r.Epoch.Number, 10)
	r.prefix = string(r.Request) + "." + number + "." + string(r.Epoch.Owner) + "."
	r.kept = append(make([]string, 0, len(r.Kept)+1), r.Kept...)
	r.mayHaveRun = len(r.kept) > 0
	r.dispatch(now, "", "")

	return r.out
}

// Step takes one event.
func (r *Relay) Step(now time.Time, e Event) []Command {
	r.out = r.out[:0]

	if r.phase == phaseDone {
		r.countLate(e)

		return r.out
	}

	if !now.Before(r.Deadline) {
		r.giveUp(ReasonDeadline)

		return r.out
	}

	switch e := e.(type) {
	case Token:
		r.onToken(now, e)
	case Finished:
		r.onFinished(now, e)
	case Started:
		r.onStarted(now, e)
	case Broken:
		r.onBroken(now, e)
	case NoServer:
		r.onNoServer(now, e)
	case LeavingNotice:
		r.onLeaving(now, e)
	case KVExported:
		r.onExported(now, e)
	case ExportFailed:
		// The stream goes on where it is until the time to move.
	case CallerGone:
		r.giveUp(ReasonCallerGone)
	case Tick:
		r.onTick(now)
	}

	return r.out
}

// Wake returns the time at which the Relay wants a Tick.
func (r *Relay) Wake() time.Time {
	at := r.Deadline

	for _, t := range []time.Time{r.wakeAt, r.moveAt} {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}

	return at
}

// Done tells whether the request has had its final answer.
func (r *Relay) Done() bool { return r.phase == phaseDone }

// Tokens returns the tokens of the answer so far.
func (r *Relay) Tokens() []string { return r.kept[:len(r.kept):len(r.kept)] }

// Attempts returns how many attempts were made.
func (r *Relay) Attempts() int { return r.attempts }

// Drops returns the count of stream events that were not taken.
func (r *Relay) Drops() Drops { return r.drops }

func (r *Relay) onStarted(now time.Time, e Started) {
	if !r.isCurrent(e.Attempt) {
		return
	}

	r.server = e.Server
	r.searchSince = time.Time{}

	if at, ok := r.leaving[e.Server]; ok {
		r.leave(now, at)
	}
}

func (r *Relay) onNoServer(now time.Time, e NoServer) {
	if !r.isCurrent(e.Attempt) {
		return
	}

	if r.searchSince.IsZero() {
		r.searchSince = now
	}

	if now.Sub(r.searchSince) >= r.patience() {
		r.phase = phaseWaiting
		r.giveUp(ReasonNoServer)

		return
	}

	// A server that failed once is better than none; a leaving one is not.
	r.excluded = r.excluded[:0]
	r.phase = phaseWaiting
	r.wakeAt = now.Add(r.Limits.Backoff)
}

// patience returns how long a server is looked for.
func (r *Relay) patience() time.Duration {
	if r.mayHaveRun {
		return r.Limits.Patience
	}

	return r.Limits.FirstPatience
}

func (r *Relay) onTick(now time.Time) {
	if !r.moveAt.IsZero() && !now.Before(r.moveAt) {
		r.move(now, "", "")

		return
	}

	if now.Before(r.wakeAt) {
		return
	}

	if r.phase == phaseWaiting {
		r.dispatch(now, "", "")

		return
	}

	r.abandonFor(context.DeadlineExceeded)
	r.resume(now)
}

// resume continues the kept tokens on another server after a failure. A
// failure on a server that was known to be leaving draws no retry, so that an
// announced reclaim never ends an accepted request.
func (r *Relay) resume(now time.Time) {
	_, announced := r.leaving[r.server]

	if !announced && !r.takeRetry(now) {
		r.giveUp(ReasonRetryBudget)

		return
	}

	if r.server != "" && !announced {
		r.excluded = append(r.excluded, r.server)
	}

	r.move(now, "", "")
}

// takeRetry tells whether an attempt that failed without notice is followed by
// another. The budget is for answers of which the caller has nothing yet.
func (r *Relay) takeRetry(now time.Time) bool {
	r.failures++
	if r.failures > r.Limits.Failures {
		return false
	}

	return len(r.kept) > 0 || r.Budget.Take(now)
}

func (r *Relay) move(now time.Time, kv string, target fleet.InstanceID) {
	r.abandon()
	r.dispatch(now, kv, target)
}

func (r *Relay) dispatch(now time.Time, kv string, target fleet.InstanceID) {
	r.attempts++
	r.attempt = backend.AttemptID(r.prefix + strconv.Itoa(r.attempts))
	r.phase = phaseRunning
	r.server = ""
	r.moveAt = time.Time{}
	r.wakeAt = now.Add(r.Limits.FirstStall)
	r.out = append(r.out, Dispatch{
		Attempt:   r.attempt,
		Exclude:   r.avoid(),
		Generated: r.Tokens(),
		KV:        kv,
		Prefer:    target,
	})
}

// avoid lists the servers that failed this request and those that are leaving.
func (r *Relay) avoid() []fleet.InstanceID {
	if len(r.excluded)+len(r.leaving) == 0 {
		return nil
	}

	out := make([]fleet.InstanceID, 0, len(r.excluded)+len(r.leaving))
	out = append(out, r.excluded...)

	return append(out, sortedServers(r.leaving)...)
}

func (r *Relay) giveUp(reason Reason) {
	r.abandon()
	r.phase = phaseDone
	r.out = append(r.out, GiveUp{Reason: reason, Ran: r.ran(), RetryAfter: r.Limits.RetryAfter})
}

// abandon cancels the attempt that is under way, which may have run by now.
func (r *Relay) abandon() {
	r.abandonFor(nil)
}

func (r *Relay) abandonFor(fault error) {
	if r.phase != phaseRunning || r.server == "" {
		return
	}

	r.mayHaveRun = true
	r.phase = phaseWaiting
	r.out = append(r.out, Cancel{Attempt: r.attempt, Fault: fault})
}

func (r *Relay) ran() RanState {
	if len(r.kept) > 0 {
		return PartlyRan
	}

	if r.mayHaveRun {
		return RanUnknown
	}

	return NotRun
}

func (r *Relay) isCurrent(id backend.AttemptID) bool {
	return r.phase == phaseRunning && id == r.attempt
}

// endAttempt ends an attempt by what its failure says of whether it ran.
func (r *Relay) endAttempt(err error) {
	if errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrRefused) {
		r.phase = phaseWaiting

		return
	}

	r.abandon()
}

func (r *Relay) countLate(e Event) {
	if t, ok := e.(Token); ok {
		r.countForeign(t.Attempt)
	}
}

func (r *Relay) countForeign(id backend.AttemptID) {
	if strings.HasPrefix(string(id), string(r.Request)+".") {
		r.drops.Late++

		return
	}

	r.drops.Crossed++
}
