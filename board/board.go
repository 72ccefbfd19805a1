// Package board lets the entry instances tell each other what they know, over one
// topic of the platform's log that all of them write to and read.
//
// Each instance appends a Record at a steady pace and reads what the others wrote.
// All read the same records in the same order, so that what is decided by the
// order, as a lease or a fixed report, is decided alike for all. No instance calls
// another: their number adds nothing to the calls of each.
//
// # Usage
//
//	b := &board.Board{
//		Log: log, Clock: clk, Every: every, Soon: soonest,
//		Write:   func(now time.Time) board.Record { … },
//		Receive: func(now time.Time, r board.Record) { … },
//		Reached: func(now time.Time) { … },
//	}
//	b.Run(ctx)
package board

import (
	"context"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"monsoonlever/capacity"
	"monsoonlever/clock"
	"monsoonlever/codec"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/provider"
	"monsoonlever/quarantine"
	"monsoonlever/quota"
	"monsoonlever/rollout"
	"monsoonlever/scheduling"
	"monsoonlever/usage"
)

// Record is what one instance writes at once.
type Record struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	// Era is the era of the store in which the writer wrote it. A record at a position of a
	// later era is one of the copy from which the store came back.
	Era uint64 `msgpack:"e,omitempty"`
	// Clock is the writer's steady clock, which tells the time between its records.
	Clock int64 `msgpack:"t"`
	// Address is where the instance hears gossip, Domain its failure domain and Cores its
	// share of processor cores.
	Address string              `msgpack:"a"`
	Domain  fleet.FailureDomain `msgpack:"f"`
	Cores   float64             `msgpack:"c"`
	// Leaving is set in the last record of an instance that stops.
	Leaving bool `msgpack:"q,omitempty"`
	// Consumption is what this instance has spent of the limits of client accounts.
	Consumption []quota.Consumption `msgpack:"d,omitempty"`
	// GlobalConsumption is what all instances have spent, told by those that lead.
	GlobalConsumption []quota.GlobalConsumption `msgpack:"k,omitempty"`
	// Work is what all instances measured of services of model engines, told by those that
	// lead.
	Work []scheduling.Work `msgpack:"w,omitempty"`
	// Usage are this instance's counts of the newest windows.
	Usage []usage.Count `msgpack:"u,omitempty"`
	// Losses are backend servers that ended under requests which are held off, and those
	// that this instance has just seen.
	Losses []quarantine.Loss `msgpack:"z,omitempty"`
	// Rollouts is what was decided on new versions, told by those that lead.
	Rollouts []rollout.State `msgpack:"v,omitempty"`
	// Lease is the state of the role as this instance knows it, for those that
	// start later; Leases are new records of the role.
	Lease  lease.Snapshot `msgpack:"s"`
	Leases []lease.Record `msgpack:"l,omitempty"`
	// Reports are reports of usage that are fixed herewith.
	Reports []usage.Report `msgpack:"r,omitempty"`
	// Plans are the wanted backend servers, told by the instance that orders them.
	Plans []capacity.Plan `msgpack:"p,omitempty"`

	// Offset is the place of the record, from 1, and Copied tells that it is one of an older
	// copy; both are set by the reader.
	Offset      provider.Offset `msgpack:"-"`
	FromOldCopy bool            `msgpack:"-"`
}

// Log is one topic of the platform's log.
type Log interface {
	// Append adds one record.
	Append(ctx context.Context, data []byte) error
	// Changes reads from a position on, without waiting. Keys are empty.
	Changes(ctx context.Context, from feed.Position, wait time.Duration) (feed.Changes, error)
	// First returns the oldest position that is kept.
	First(ctx context.Context) (feed.Position, error)
}

const (
	// callTimeout bounds one call; the store answers in some milliseconds.
	callTimeout = time.Second
	// firstReadTimeout bounds a call until the board was first read to its end: what is
	// kept takes a second on a slow link, and more while all instances read it.
	firstReadTimeout = 5 * time.Second
	// maxReadsPerRound bounds the reads of one round.
	maxReadsPerRound = 8
	// inactivePollInterval is how often an instance that takes no part looks whether it does.
	inactivePollInterval = 500 * time.Millisecond
)

// Board writes and reads. Its exported fields are set before Run.
type Board struct {
	Log   Log
	Clock clock.Clock
	// Interval is the time between two rounds, and Soon the least.
	Interval    func() time.Duration
	MinInterval func() time.Duration
	// ReadInterval is the least time between two reads; nil reads in each round.
	ReadInterval func() time.Duration
	// BeforeFirstRound ends before the first round, so that what callers wait for first is not
	// held up by what is kept of the board; it may be nil.
	BeforeFirstRound func(ctx context.Context)
	// Active reports whether this instance writes and reads now; nil is always.
	Active func() bool
	// Write makes the next record.
	Write func(now time.Time) Record
	// Receive takes a record in, also those of this instance.
	Receive func(now time.Time, r Record)
	// CaughtUp is told when a round has read to the end.
	CaughtUp func(now time.Time)

	wake         feed.Signal
	nextPosition feed.Position
	positioned   bool
	unavailable  bool
	// lastReadAt is when the board was last read.
	lastReadAt time.Time
}

// Run writes and reads until ctx ends.
func (b *Board) Run(ctx context.Context) {
	if b.BeforeFirstRound != nil {
		b.BeforeFirstRound(ctx)
	}

	for ctx.Err() == nil {
		if !b.active(ctx) {
			continue
		}

		began := b.Clock.Now()
		err := b.write(ctx)

		if b.readDue(began) {
			err = errors.Join(err, b.read(ctx))
		}

		b.logAvailability(ctx, err)
		b.pause(ctx, began)
	}
}

// active reports whether a round is to be made, and waits for a moment otherwise.
func (b *Board) active(ctx context.Context) bool {
	if b.Active == nil || b.Active() {
		return true
	}

	select {
	case <-b.Clock.After(inactivePollInterval):
	case <-b.wake.C():
	case <-ctx.Done():
	}

	return false
}

func (b *Board) readDue(now time.Time) bool {
	return b.lastReadAt.IsZero() || b.ReadInterval == nil || now.Sub(b.lastReadAt) >= b.ReadInterval()
}

// Wake asks for the next round to be made soon.
func (b *Board) Wake() { b.wake.Send() }

// pause waits for the next round, which is made sooner if it was asked for.
func (b *Board) pause(ctx context.Context, began time.Time) {
	clock.Sleep(ctx, b.Clock, b.MinInterval())

	select {
	case <-b.Clock.After(max(b.Interval()-b.Clock.Now().Sub(began), 0)):
	case <-b.wake.C():
	case <-ctx.Done():
	}
}

// AppendFinal appends one more record, as an instance that stops does.
func (b *Board) AppendFinal(ctx context.Context, r Record) error {
	return b.append(ctx, r)
}

func (b *Board) write(ctx context.Context) error {
	return b.append(ctx, b.Write(b.Clock.Now()))
}

func (b *Board) append(ctx context.Context, r Record) error {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return err
	}

	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	return b.Log.Append(call, data)
}

func (b *Board) read(ctx context.Context) error {
	for range maxReadsPerRound {
		more, err := b.readOnce(ctx)
		if err != nil || !more {
			return err
		}
	}

	return nil
}

func (b *Board) readOnce(ctx context.Context) (bool, error) {
	timeout := callTimeout
	if b.lastReadAt.IsZero() {
		timeout = firstReadTimeout
	}

	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()

	if !b.positioned {
		first, err := b.Log.First(call)
		if err != nil {
			return false, err
		}

		b.nextPosition, b.positioned = first, true
	}

	changes, err := b.Log.Changes(call, b.nextPosition, 0)
	if errors.Is(err, feed.ErrTrimmed) {
		b.positioned = false

		return true, nil
	}

	if err != nil {
		return false, err
	}

	now := b.Clock.Now()
	b.deliver(now, changes.Entries)
	b.nextPosition = changes.Next

	if changes.Next < changes.End {
		return true, nil
	}

	b.lastReadAt = now
	b.CaughtUp(now)

	return false, nil
}

func (b *Board) deliver(now time.Time, entries []feed.Entry) {
	for _, e := range entries {
		var r Record
		if err := codec.Unmarshal(e.Data, &r); err != nil {
			klog.ErrorS(err, "record of the board can't be decoded", "offset", e.At, "bytes", len(e.Data))

			continue
		}

		r.Offset = provider.Offset(e.At) + 1
		r.FromOldCopy = r.Era < e.At.Era()
		b.Receive(now, r)
	}
}

func (b *Board) logAvailability(ctx context.Context, err error) {
	if ctx.Err() != nil || (err != nil) == b.unavailable {
		return
	}

	b.unavailable = err != nil
	if b.unavailable {
		klog.InfoS("dependency lost", "dependency", "board", "err", err.Error())
	} else {
		klog.InfoS("dependency regained", "dependency", "board")
	}
}
