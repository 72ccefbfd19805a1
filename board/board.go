// Package board shares state between the entry instances over one topic of the platform's log,
// which all instances write and read.
//
// Each instance appends a Record at regular intervals and reads the records of all. All
// instances read the same records in the same order, so that they come to the same result for
// everything that depends on the order, such as a lease or a final report. No instance calls
// another through the board: the number of calls of an instance does not depend on the number
// of instances.
//
// # Usage
//
//	b := &board.Board{
//		Log: log, Clock: clk, Interval: interval, MinInterval: minInterval,
//		Write:    func(now time.Time) board.Record { … },
//		Receive:  func(now time.Time, r board.Record) { … },
//		CaughtUp: func(now time.Time) { … },
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

// Record is what one instance writes in one round.
type Record struct {
	Instance    fleet.InstanceID  `msgpack:"i"`
	Incarnation fleet.Incarnation `msgpack:"n"`
	// Era is the era of the store in which the record was written. A record at a position of a
	// later era belongs to the older copy that the store was restored from.
	Era uint64 `msgpack:"e,omitempty"`
	// Clock is the reading of the writer's steady clock, which gives the time between its
	// records.
	Clock int64 `msgpack:"t"`
	// Address is where the instance receives gossip, Domain its failure domain and Cores its
	// share of processor cores.
	Address string              `msgpack:"a"`
	Domain  fleet.FailureDomain `msgpack:"f"`
	Cores   float64             `msgpack:"c"`
	// Leaving is set in the last record of an instance that stops.
	Leaving bool `msgpack:"q,omitempty"`
	// Consumption is this instance's consumption of the limits of client accounts.
	Consumption []quota.Consumption `msgpack:"d,omitempty"`
	// GlobalConsumption is the consumption of all instances, published by the leaders.
	GlobalConsumption []quota.GlobalConsumption `msgpack:"k,omitempty"`
	// Work is what all instances measured of the services of model engines, published by the
	// leaders.
	Work []scheduling.Work `msgpack:"w,omitempty"`
	// ReadLoads belong to Work, for services whose servers tell their pace.
	ReadLoads []scheduling.ReadLoad `msgpack:"m,omitempty"`
	// Usage are this instance's counts of the newest windows.
	Usage []usage.Count `msgpack:"u,omitempty"`
	// Losses are backend servers that crashed under quarantined requests, and those that this
	// instance has just detected.
	Losses []quarantine.Loss `msgpack:"z,omitempty"`
	// Parts are crashes of backend servers under parts of prompts that are held off, and those that
	// this instance has just detected.
	Parts []quarantine.PartReport `msgpack:"b,omitempty"`
	// Rollouts are the decisions on new versions, published by the leaders.
	Rollouts []rollout.State `msgpack:"v,omitempty"`
	// Lease is the state of the role's lease as this instance knows it, for instances that
	// start later. Leases are new records of the lease.
	Lease  lease.Snapshot `msgpack:"s"`
	Leases []lease.Record `msgpack:"l,omitempty"`
	// Reports are usage reports that become final with this record.
	Reports []usage.Report `msgpack:"r,omitempty"`
	// Plans are the wanted backend servers, published by the instance that orders them.
	Plans []capacity.Plan `msgpack:"p,omitempty"`

	// Offset is the position of the record, from 1, and FromOldCopy reports that the record
	// belongs to an older copy of the store. The reader sets both.
	Offset      provider.Offset `msgpack:"-"`
	FromOldCopy bool            `msgpack:"-"`
}

// Log is one topic of the platform's log.
type Log interface {
	// Append appends one record.
	Append(ctx context.Context, data []byte) error
	// Changes reads records from a position on. The board passes a wait of zero. The keys of the
	// entries are empty.
	Changes(ctx context.Context, from feed.Position, wait time.Duration) (feed.Changes, error)
	// First returns the oldest position that is retained.
	First(ctx context.Context) (feed.Position, error)
}

const (
	// callTimeout bounds one call; the store responds within a few milliseconds.
	callTimeout = time.Second
	// firstReadTimeout bounds a read until the board was first read to its end: reading the
	// retained records takes a second on a slow link, and longer while all instances read them.
	firstReadTimeout = 5 * time.Second
	// maxReadsPerRound bounds the reads of one round.
	maxReadsPerRound = 8
	// inactivePollInterval is how often an inactive instance calls Active.
	inactivePollInterval = 500 * time.Millisecond
)

// Board writes and reads records. Its exported fields are set before Run.
type Board struct {
	Log   Log
	Clock clock.Clock
	// Interval is the time between two rounds, and MinInterval the least pause after a round,
	// also if Wake is called.
	Interval    func() time.Duration
	MinInterval func() time.Duration
	// ReadInterval is the least time between two reads; nil reads in each round.
	ReadInterval func() time.Duration
	// BeforeFirstRound returns before the first round starts, so that the calls that callers
	// wait for first are not delayed by reading the retained records; it may be nil.
	BeforeFirstRound func(ctx context.Context)
	// Active reports whether this instance currently writes and reads; nil means always.
	Active func() bool
	// Write returns the next record.
	Write func(now time.Time) Record
	// Written is called after a record of a round was appended; it may be nil.
	Written func(r Record)
	// Receive handles a record that was read, including those of this instance.
	Receive func(now time.Time, r Record)
	// CaughtUp is called when a round has read to the end.
	CaughtUp func(now time.Time)

	wake         feed.Signal
	nextPosition feed.Position
	positioned   bool
	unavailable  bool
	// lastReadAt is when the board was last read to its end.
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

// active reports whether to run a round, and otherwise waits for inactivePollInterval or a call
// of Wake.
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

// Wake requests that the next round runs soon, after MinInterval.
func (b *Board) Wake() { b.wake.Send() }

// pause waits for the next round, for Interval or until Wake is called, but at least for
// MinInterval.
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
	r := b.Write(b.Clock.Now())

	err := b.append(ctx, r)
	if err == nil && b.Written != nil {
		b.Written(r)
	}

	return err
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
			klog.ErrorS(err, "board record could not be decoded", "offset", e.At, "bytes", len(e.Data))

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
