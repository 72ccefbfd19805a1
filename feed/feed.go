// Package feed follows records of which the newest of each key counts, such as
// the operators' rules and the register of backend servers.
//
// A Follower takes the whole set once and the changes from there on. If changes
// have been deleted before it read them, it takes the whole set again.
//
// # Usage
//
//	f := &feed.Follower{
//		Source: source, Clock: clk,
//		Pace:    func() feed.Pace { return feed.Pace{Wait: time.Second} },
//		Apply:   func(entries []feed.Entry, whole bool) { … },
//		Confirm: tracker.Confirm,
//	}
//	f.Run(ctx)
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
)

// ErrTrimmed means that the changes asked for have been deleted.
var ErrTrimmed = merry.Sentinel("changes are no longer kept")

// ErrNoSource means that it is not known yet where to read from. The next Wake ends the
// pause after it.
var ErrNoSource = merry.Sentinel("no source to read from")

// Entry is the newest content under a key.
type Entry struct {
	Key string
	// Data is empty where the key was removed.
	Data []byte
	// At is the place of the change.
	At Position
}

// Changes are what one read brought.
type Changes struct {
	Entries []Entry
	// Next is where to read on, End the end of all changes when it was read.
	Next, End Position
}

// Source is where the records are.
type Source interface {
	// Snapshot returns the newest entry of each key, no older than the call, and a
	// position from which on all later changes are found.
	Snapshot(ctx context.Context) ([]Entry, Position, error)
	// Changes returns the changes from a position on. Where there is none yet it
	// waits up to wait for one.
	Changes(ctx context.Context, from Position, wait time.Duration) (Changes, error)
}

const (
	// readTimeoutMargin is what a call may take beyond the wait that was asked for.
	readTimeoutMargin = 1500 * time.Millisecond
	// snapshotTimeout bounds the reading of a whole set: sources bound each of its parts by
	// themselves, so that a slow link is no reason to begin anew.
	snapshotTimeout = 15 * time.Second
	// minBackoff and maxBackoff bound the pause after a failed call: each call
	// has its price, also a refused one, and the store's return must be noticed
	// well within the bound on the age of the rules.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
)

// PollTiming says how often a source is read.
type PollTiming struct {
	// MaxWait is how long a read waits for a change, Interval the pause between reads.
	MaxWait, Interval time.Duration
	// MaxBackoff bounds the pause after failed reads where it is longer than the default: many
	// that read one source wait longer, so that all together do not ask more often.
	MaxBackoff time.Duration
}

// Follower reads a source. Its exported fields are set before Run.
type Follower struct {
	// Name is used in logs.
	Name   string
	Source Source
	Clock  clock.Clock
	// Timing is asked before each read; nil is no wait and no pause.
	Timing func() PollTiming
	// ExtraDelay is asked once a pause is over: how long the next read may still wait, because
	// others have read meanwhile. It may be nil.
	ExtraDelay func() time.Duration
	// Apply takes entries in; whole tells that keys that are not among them are gone.
	Apply func(entries []Entry, whole bool)
	// Confirm is told the time before a read that reached the end; it may be nil.
	Confirm func(asked time.Time)

	next        Position
	hasPosition bool
	backoff     time.Duration
	sourceLost  bool
	// lastRead is when the last read succeeded, in Unix nanoseconds.
	lastRead atomic.Int64

	wake, sourceChanged Signal
	// skipWait is set when the next read must not wait, and snapshotRequested when it has to be of the
	// whole set.
	skipWait, snapshotRequested atomic.Bool
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		more, err := f.readOnce(ctx)
		f.recordResult(err)

		switch {
		case errors.Is(err, ErrTrimmed):
			f.hasPosition = false
		case f.skipWait.Load():
		case errors.Is(err, ErrNoSource):
			f.sleepUnlessWoken(ctx, maxBackoff)
		case err != nil:
			f.backoff = min(max(2*f.backoff, minBackoff), max(maxBackoff, f.timing().MaxBackoff))
			// Readers that failed together return apart.
			clock.Sleep(ctx, f.Clock, f.backoff/2+rand.N(f.backoff/2))
		case !more:
			f.pause(ctx)
		}
	}
}

// RequestSnapshot asks for the whole set at once, in place of changes.
func (f *Follower) RequestSnapshot() {
	f.snapshotRequested.Store(true)
	f.wake.Send()
}

// Wake asks for a read at once, in place of a wait or a pause.
func (f *Follower) Wake() { f.wake.Send() }

// SourceChanged asks for a read at once because the source has changed. It also ends a read of changes
// that is under way: the source before may not answer.
func (f *Follower) SourceChanged() { f.sourceChanged.Send() }

func (f *Follower) timing() PollTiming {
	if f.Timing == nil {
		return PollTiming{}
	}

	return f.Timing()
}

func (f *Follower) pause(ctx context.Context) {
	for wait := f.timing().Interval; f.sleepUnlessWoken(ctx, wait); {
		if wait = f.extraDelay(); wait <= 0 {
			return
		}
	}
}

// sleepUnlessWoken waits for some time and reports whether it passed without a request to read.
func (f *Follower) sleepUnlessWoken(ctx context.Context, wait time.Duration) bool {
	select {
	case <-f.Clock.After(wait):
		return ctx.Err() == nil
	case <-f.wake.C():
	case <-f.sourceChanged.C():
	case <-ctx.Done():
		return false
	}

	f.skipWait.Store(true)

	return false
}

func (f *Follower) extraDelay() time.Duration {
	if f.ExtraDelay == nil {
		return 0
	}

	return f.ExtraDelay()
}

// beginRead returns the context of one read and how long it waits. A wake-up ends the wait, a redirect the
// read.
func (f *Follower) beginRead(ctx context.Context) (context.Context, context.CancelFunc, time.Duration) {
	wait := f.timing().MaxWait
	if skip := f.skipWait.Swap(false); skip || f.backoff > 0 {
		// After a failure the read that confirms what is known must not wait for news: a
		// wait of 1.5 s at the return of a store was 1.5 s more of refusals.
		wait = 0
	}

	if !f.hasPosition || f.snapshotRequested.Load() {
		readCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)

		return readCtx, cancel, 0
	}

	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)

	var wake <-chan struct{}
	if wait > 0 {
		wake = f.wake.C()
	}

	go func() {
		select {
		case <-wake:
		case <-f.sourceChanged.C():
		case <-readCtx.Done():
			return
		}

		f.skipWait.Store(true)
		cancel()
	}()

	return readCtx, cancel, wait
}

// LastRead returns when the source was last read, or the zero time.
func (f *Follower) LastRead() time.Time {
	if at := f.lastRead.Load(); at != 0 {
		return time.Unix(0, at)
	}

	return time.Time{}
}

// readOnce makes one call and tells whether more is waiting.
func (f *Follower) readOnce(ctx context.Context) (bool, error) {
	readCtx, cancel, wait := f.beginRead(ctx)
	defer cancel()

	startedAt := f.Clock.Now()

	if f.snapshotRequested.Swap(false) {
		f.hasPosition = false
	}

	if !f.hasPosition {
		entries, next, err := f.Source.Snapshot(readCtx)
		if err != nil {
			return false, err
		}

		f.Apply(entries, true)
		f.next, f.hasPosition = next, true
		f.confirm(startedAt)

		return true, nil
	}

	changes, err := f.Source.Changes(readCtx, f.next, wait)
	if err != nil {
		return false, err
	}

	if len(changes.Entries) > 0 {
		f.Apply(changes.Entries, false)
	}

	f.next = changes.Next
	more := changes.Next < changes.End

	if !more {
		f.confirm(startedAt)
	}

	return more, nil
}

func (f *Follower) confirm(startedAt time.Time) {
	if f.Confirm != nil {
		f.Confirm(startedAt)
	}
}

// recordResult logs when the source is lost and regained.
func (f *Follower) recordResult(err error) {
	if err == nil {
		f.backoff = 0
		f.lastRead.Store(f.Clock.Now().UnixNano())

		if f.sourceLost {
			f.sourceLost = false
			klog.InfoS("dependency regained", "dependency", f.Name)
		}

		return
	}

	if !f.sourceLost && !f.skipWait.Load() && !errors.Is(err, context.Canceled) && !errors.Is(err, ErrNoSource) {
		f.sourceLost = true
		klog.InfoS("dependency lost", "dependency", f.Name, "err", err.Error())
	}
}
