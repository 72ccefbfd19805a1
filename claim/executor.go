package claim

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/logstream"
)

// DefaultTickInterval is the default of Executor.TickInterval.
const DefaultTickInterval = 50 * time.Millisecond

// Send makes the call of an attempt that won its key. Its error wraps backend.ErrNotSent or
// backend.ErrRefused if the call certainly did not run and never will; after any other
// error it is unknown whether the call ran. Send is called at most once and must not make
// the call more than once.
type Send func(ctx context.Context) (Result, error)

// Attempt is one attempt at a non-idempotent request, as passed to an Executor.
type Attempt struct {
	// Key identifies the request.
	Key Key
	// Digest is the hash of the request's content.
	Digest Digest
	// Deadline is the time before which the call must be sent.
	Deadline time.Time
}

// Executor runs a Table over a logstream.Client. It is safe for concurrent use. Set the
// exported fields before Run, and add the executor to Log.Subscribers before the client
// runs.
type Executor struct {
	Log    *logstream.Client
	Clock  clock.Clock
	Config Config
	// StoredHeaders names the header fields that are stored with an outcome.
	StoredHeaders []string
	// TickInterval is the interval between checks of deadlines and of the log's health.
	TickInterval time.Duration

	once        sync.Once
	mu          sync.Mutex
	table       *Table
	calls       map[AttemptID]*call
	lastID      AttemptID
	openAppends []openAppend
	logDown     bool
	counters    counters
}

// call contains the channels of one Do in progress.
type call struct {
	dispatch chan Dispatch
	verdict  chan Verdict
}

// openAppend is an append without a result yet.
type openAppend struct {
	command Append
	ticket  *logstream.Ticket
}

func (x *Executor) init() {
	x.once.Do(func() {
		x.table = NewTable(x.Config)
		x.calls = make(map[AttemptID]*call)
		x.counters = newCounters()
		x.TickInterval = cmp.Or(x.TickInterval, DefaultTickInterval)
	})
}

// Do returns the final verdict on an attempt. It calls send only if the attempt won its
// key. If ctx ends first, Do returns the error of ctx; a call that was sent continues.
func (x *Executor) Do(ctx context.Context, a Attempt, send Send) (Verdict, error) {
	x.init()
	x.counters.requests.Inc()

	id, c := x.submit(a)
	defer x.removeCall(id)

	select {
	case v := <-c.verdict:
		return v, nil
	case d := <-c.dispatch:
		return x.dispatch(ctx, d, c, send)
	case <-ctx.Done():
		return x.abandon(ctx, id, c, send)
	}
}

func (x *Executor) submit(a Attempt) (AttemptID, *call) {
	x.mu.Lock()
	defer x.mu.Unlock()

	x.lastID++
	id := x.lastID
	c := &call{dispatch: make(chan Dispatch, 1), verdict: make(chan Verdict, 1)}
	x.calls[id] = c
	x.execute(x.table.Submit(x.Clock.Now(), NewSubmission(id, a.Key, a.Digest, a.Deadline)))

	return id, c
}

func (x *Executor) removeCall(id AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()

	delete(x.calls, id)
}

// abandon handles the end of the caller's context. If the attempt won its key in the
// meantime, it is declined, since nothing was sent.
func (x *Executor) abandon(ctx context.Context, id AttemptID, c *call, send Send) (Verdict, error) {
	x.apply(func(now time.Time) []Command { return x.table.Abandon(now, id) })

	select {
	case d := <-c.dispatch:
		return x.dispatch(ctx, d, c, send)
	default:
		return Verdict{}, ctx.Err()
	}
}

// dispatch sends the call of an attempt that won its key, unless its deadline has passed or
// ctx has ended.
func (x *Executor) dispatch(ctx context.Context, d Dispatch, c *call, send Send) (Verdict, error) {
	if ctx.Err() != nil || !d.deadline.After(x.Clock.Now()) {
		x.apply(func(now time.Time) []Command { return x.table.Declined(now, d.attempt) })

		return x.wait(ctx, c)
	}

	x.counters.dispatches.Inc()

	result, err := x.send(ctx, d.attempt, send)

	switch {
	case err == nil:
		stored := result
		stored.header = x.storedHeader(result.header)
		x.apply(func(now time.Time) []Command { return x.table.Completed(now, d.attempt, stored) })

		return Verdict{run: Ran, result: result, bodyStored: true}, nil
	case errors.Is(err, backend.ErrNotSent), errors.Is(err, backend.ErrRefused):
		x.apply(func(now time.Time) []Command { return x.table.Declined(now, d.attempt) })
	default:
		x.apply(func(now time.Time) []Command { return x.table.Broken(now, d.attempt) })
	}

	return x.wait(ctx, c)
}

// send makes the call. If send panics, the outcome of the call is recorded as unknown.
func (x *Executor) send(ctx context.Context, id AttemptID, send Send) (Result, error) {
	returned := false

	defer func() {
		if !returned {
			x.apply(func(now time.Time) []Command { return x.table.Broken(now, id) })
		}
	}()

	result, err := send(ctx)
	returned = true

	return result, err
}

func (x *Executor) wait(ctx context.Context, c *call) (Verdict, error) {
	select {
	case v := <-c.verdict:
		return v, nil
	case <-ctx.Done():
		return Verdict{}, ctx.Err()
	}
}

func (x *Executor) storedHeader(header []Field) []Field {
	var stored []Field

	for _, f := range header {
		for _, name := range x.StoredHeaders {
			if f.Name == name {
				stored = append(stored, f)
			}
		}
	}

	return stored
}

// Horizon implements logstream.Subscriber.
func (x *Executor) Horizon(since time.Time) {
	x.apply(func(time.Time) []Command { return x.table.Horizon(since) })
}

// Entries implements logstream.Subscriber.
func (x *Executor) Entries(entries []logstream.Entry) {
	for _, e := range entries {
		x.apply(func(now time.Time) []Command { return x.table.Read(now, e) })
	}
}

// InstanceRemoved reports that an incarnation of an entry instance is no longer live.
func (x *Executor) InstanceRemoved(id fleet.InstanceID, incarnation fleet.Incarnation) {
	x.apply(func(time.Time) []Command { return x.table.InstanceRemoved(id, incarnation) })
}

// Run checks deadlines and the log's health until ctx ends. The log client must run at the
// same time.
func (x *Executor) Run(ctx context.Context) error {
	x.init()

	ready := x.Log.Ready()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ready:
			ready = nil

			x.apply(func(time.Time) []Command {
				x.table.CaughtUp()

				return nil
			})
		case <-x.Clock.After(x.TickInterval):
			x.tick()
		}
	}
}

func (x *Executor) tick() {
	healthy := x.Log.Healthy()

	x.apply(func(now time.Time) []Command {
		commands := x.updateLogHealth(healthy)
		commands = append(commands, x.reportFailedAppends(now)...)
		commands = append(commands, x.table.Tick(now)...)
		x.counters.keys.Set(float64(x.table.KeyCount()))
		x.counters.openAttempts.Set(float64(x.table.OpenAttempts()))

		return commands
	})
}

// updateLogHealth reports changes of the log's health to the table.
func (x *Executor) updateLogHealth(healthy bool) []Command {
	if healthy != x.logDown {
		return nil
	}

	x.logDown = !healthy

	if !x.logDown {
		klog.InfoS("log available again; new claims accepted", "open", x.table.OpenAttempts())
		x.table.LogUp()

		return nil
	}

	x.counters.outages.Inc()
	klog.InfoS("log unavailable; new claims refused", "open", x.table.OpenAttempts())

	return x.table.LogDown()
}

// reportFailedAppends reports the appends that ended without confirmation to the table.
func (x *Executor) reportFailedAppends(now time.Time) []Command {
	var commands []Command

	open := x.openAppends
	x.openAppends = nil

	for _, o := range open {
		select {
		case <-o.ticket.Done():
		default:
			x.openAppends = append(x.openAppends, o)

			continue
		}

		if _, err := o.ticket.Result(); err != nil {
			x.counters.failedAppends.Inc()

			definite := !errors.Is(err, logstream.ErrUnresolved)
			commands = append(commands, x.table.AppendFailed(now, o.command.kind, o.command.attempt, definite)...)
		}
	}

	return commands
}

// apply runs one step of the table and executes its commands.
func (x *Executor) apply(f func(now time.Time) []Command) {
	x.init()
	x.mu.Lock()
	defer x.mu.Unlock()

	x.execute(f(x.Clock.Now()))
}

// execute executes commands without blocking.
func (x *Executor) execute(commands []Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case Append:
			if c.kind == KindVoid {
				x.counters.voids.Inc()
			}

			x.openAppends = append(x.openAppends, openAppend{command: c, ticket: x.Log.Append(c.kind, c.payload)})
		case Dispatch:
			if open, ok := x.calls[c.attempt]; ok {
				open.dispatch <- c
			} else {
				x.execute(x.table.Declined(x.Clock.Now(), c.attempt))
			}
		case Resolve:
			x.counters.verdicts[c.verdict.run].Inc()

			if open, ok := x.calls[c.attempt]; ok {
				open.verdict <- c.verdict
			}
		}
	}
}
