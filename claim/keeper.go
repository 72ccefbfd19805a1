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

// DefaultTick is the time between two looks at deadlines and at the log.
const DefaultTick = 50 * time.Millisecond

// Send makes the call of a request that won its key. Its error wraps
// backend.ErrNotSent or backend.ErrRefused if the call certainly did not run
// and never will; any other error leaves that unknown. It is called at most
// once and must not make the call more than once.
type Send func(ctx context.Context) (Result, error)

// Attempt is one call of a caller, as a Keeper takes it.
type Attempt struct {
	// Key is the idempotency key.
	Key Key
	// Digest is the hash of what is asked for.
	Digest Digest
	// Deadline is when the caller has no more use for an answer.
	Deadline time.Time
}

// Executor runs a Table over a journal. It is safe for concurrent use. Set the
// exported fields before Run, and add the keeper to Journal.Subscribers before
// the journal runs.
type Executor struct {
	Log *logstream.Client
	Clock   clock.Clock
	Config  Config
	// StoredHeaders names the header fields that are kept with an outcome.
	StoredHeaders []string
	// TickEvery is the time between two looks at deadlines and at the log.
	TickEvery time.Duration

	once     sync.Once
	mu       sync.Mutex
	table    *Table
	calls    map[RequestID]*call
	next     RequestID
	appends  []openAppend
	down     bool
	counters counters
}

// call is one Do in progress.
type call struct {
	dispatch chan Dispatch
	answer   chan Verdict
}

// openAppend is an append whose result is not known.
type openAppend struct {
	command Append
	ticket  *logstream.Ticket
}

func (k *Executor) init() {
	k.once.Do(func() {
		k.table = NewTable(k.Config)
		k.calls = make(map[RequestID]*call)
		k.counters = newCounters()
		k.TickEvery = cmp.Or(k.TickEvery, DefaultTick)
	})
}

// Do brings an attempt to its final verdict. It calls send if and only if the
// attempt won its key. The error of ctx is returned if ctx ended first; what
// was sent then goes on without its caller.
func (k *Executor) Do(ctx context.Context, a Attempt, send Send) (Verdict, error) {
	k.init()
	k.counters.requests.Inc()

	id, c := k.submit(a)
	defer k.forget(id)

	select {
	case v := <-c.answer:
		return v, nil
	case d := <-c.dispatch:
		return k.dispatch(ctx, d, c, send)
	case <-ctx.Done():
		return k.abandon(ctx, id, c, send)
	}
}

func (k *Executor) submit(a Attempt) (RequestID, *call) {
	k.mu.Lock()
	defer k.mu.Unlock()

	k.next++
	id := k.next
	c := &call{dispatch: make(chan Dispatch, 1), answer: make(chan Verdict, 1)}
	k.calls[id] = c
	k.run(k.table.Submit(k.Clock.Now(), NewRequest(id, a.Key, a.Digest, a.Deadline)))

	return id, c
}

func (k *Executor) forget(id RequestID) {
	k.mu.Lock()
	defer k.mu.Unlock()

	delete(k.calls, id)
}

// abandon ends a call whose caller is gone. One that has won its key in the
// meantime is declined, since nothing of it was sent.
func (k *Executor) abandon(ctx context.Context, id RequestID, c *call, send Send) (Verdict, error) {
	k.step(func(now time.Time) []Command { return k.table.Abandon(now, id) })

	select {
	case d := <-c.dispatch:
		return k.dispatch(ctx, d, c, send)
	default:
		return Verdict{}, ctx.Err()
	}
}

// dispatch sends a request that won its key, unless its time has passed.
func (k *Executor) dispatch(ctx context.Context, d Dispatch, c *call, send Send) (Verdict, error) {
	if ctx.Err() != nil || !d.deadline.After(k.Clock.Now()) {
		k.step(func(now time.Time) []Command { return k.table.Declined(now, d.request) })

		return k.wait(ctx, c)
	}

	k.counters.dispatches.Inc()

	result, err := k.send(ctx, d.request, send)

	switch {
	case err == nil:
		kept := result
		kept.header = k.subset(result.header)
		k.step(func(now time.Time) []Command { return k.table.Done(now, d.request, kept) })

		return Verdict{run: Ran, result: result, kept: true}, nil
	case errors.Is(err, backend.ErrNotSent), errors.Is(err, backend.ErrRefused):
		k.step(func(now time.Time) []Command { return k.table.Declined(now, d.request) })
	default:
		k.step(func(now time.Time) []Command { return k.table.Broken(now, d.request) })
	}

	return k.wait(ctx, c)
}

// send makes the call. Should it panic, it is unknown whether it ran.
func (k *Executor) send(ctx context.Context, id RequestID, send Send) (Result, error) {
	returned := false

	defer func() {
		if !returned {
			k.step(func(now time.Time) []Command { return k.table.Broken(now, id) })
		}
	}()

	result, err := send(ctx)
	returned = true

	return result, err
}

func (k *Executor) wait(ctx context.Context, c *call) (Verdict, error) {
	select {
	case v := <-c.answer:
		return v, nil
	case <-ctx.Done():
		return Verdict{}, ctx.Err()
	}
}

func (k *Executor) subset(header []Field) []Field {
	var kept []Field

	for _, f := range header {
		for _, name := range k.StoredHeaders {
			if f.Name == name {
				kept = append(kept, f)
			}
		}
	}

	return kept
}

// Horizon implements logstream.Subscriber.
func (k *Executor) Horizon(since time.Time) {
	k.step(func(time.Time) []Command { return k.table.Horizon(since) })
}

// Entries implements logstream.Subscriber.
func (k *Executor) Entries(entries []logstream.Entry) {
	for _, e := range entries {
		k.step(func(now time.Time) []Command { return k.table.Read(now, e) })
	}
}

// InstanceRemoved says that an incarnation of an entry instance is no longer live.
func (k *Executor) InstanceRemoved(id fleet.InstanceID, incarnation fleet.Incarnation) {
	k.step(func(time.Time) []Command { return k.table.InstanceGone(id, incarnation) })
}

// Run watches deadlines and the log until ctx ends. The journal runs beside it.
func (k *Executor) Run(ctx context.Context) error {
	k.init()

	ready := k.Log.Ready()

	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ready:
			ready = nil

			k.step(func(time.Time) []Command {
				k.table.CaughtUp()

				return nil
			})
		case <-k.Clock.After(k.TickEvery):
			k.tick()
		}
	}
}

func (k *Executor) tick() {
	healthy := k.Log.Healthy()

	k.step(func(now time.Time) []Command {
		commands := k.watch(healthy)
		commands = append(commands, k.failed(now)...)
		commands = append(commands, k.table.Tick(now)...)
		k.counters.keys.Set(float64(k.table.Keys()))
		k.counters.open.Set(float64(k.table.Open()))

		return commands
	})
}

// watch passes changes of the log's health on.
func (k *Executor) watch(healthy bool) []Command {
	if healthy != k.down {
		return nil
	}

	k.down = !healthy

	if !k.down {
		klog.InfoS("Log is back; claims are taken again", "open", k.table.Open())
		k.table.LogUp()

		return nil
	}

	k.counters.outages.Inc()
	klog.InfoS("Log is down; new claims are refused", "open", k.table.Open())

	return k.table.LogDown()
}

// failed tells the table of the appends that ended without effect.
func (k *Executor) failed(now time.Time) []Command {
	var commands []Command

	open := k.appends
	k.appends = nil

	for _, o := range open {
		select {
		case <-o.ticket.Done():
		default:
			k.appends = append(k.appends, o)

			continue
		}

		if _, err := o.ticket.Result(); err != nil {
			k.counters.failed.Inc()

			dead := !errors.Is(err, logstream.ErrUnresolved)
			commands = append(commands, k.table.AppendFailed(now, o.command.kind, o.command.request, dead)...)
		}
	}

	return commands
}

// step makes one step of the table and carries its commands out.
func (k *Executor) step(f func(now time.Time) []Command) {
	k.init()
	k.mu.Lock()
	defer k.mu.Unlock()

	k.run(f(k.Clock.Now()))
}

// run carries commands out. None of them waits.
func (k *Executor) run(commands []Command) {
	for _, command := range commands {
		switch c := command.(type) {
		case Append:
			if c.kind == KindVoid {
				k.counters.voids.Inc()
			}

			k.appends = append(k.appends, openAppend{command: c, ticket: k.Log.Append(c.kind, c.payload)})
		case Dispatch:
			if open, ok := k.calls[c.request]; ok {
				open.dispatch <- c
			} else {
				k.run(k.table.Declined(k.Clock.Now(), c.request))
			}
		case Answer:
			k.counters.verdicts[c.verdict.run].Inc()

			if open, ok := k.calls[c.request]; ok {
				open.answer <- c.verdict
			}
		}
	}
}
