// Package feed follows keyed records of which only the newest of each key is valid,
// such as the operators' rules and the register of backend servers.
//
// A Follower reads a full snapshot once and then the changes after it. If changes
// were deleted before it read them, it reads a full snapshot again.
//
// # Usage
//
//	f := &feed.Follower{
//		Source: source, Clock: clk,
//		Timing:  func() feed.PollTiming { return feed.PollTiming{MaxWait: time.Second} },
//		Apply:   func(entries []feed.Entry, snapshot bool) { … },
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

// ErrTrimmed means that the requested changes were deleted.
var ErrTrimmed = merry.Sentinel("changes are no longer kept")

// ErrNoSource means that no source to read from is known yet. Wake and SourceChanged end the
// pause after it.
var ErrNoSource = merry.Sentinel("no source to read from")

// Entry is the content of a key after a change.
type Entry struct {
	Key string
	// Data is empty if the key was removed.
	Data []byte
	// At is the position of the change.
	At Position
}

// Changes is the result of one read of changes.
type Changes struct {
	Entries []Entry
	// Next is the position of the next read. End is the end of all changes at the time of the
	// read; more changes can be read immediately if Next is before End.
	Next, End Position
}

// Source provides the records of a feed.
type Source interface {
	// Snapshot returns the newest entry of each key as of a time after the call began, and
	// the position from which all later changes can be read.
	Snapshot(ctx context.Context) ([]Entry, Position, error)
	// Changes returns the changes from a position on. If there is none, it waits up to
	// wait for one.
	Changes(ctx context.Context, from Position, wait time.Duration) (Changes, error)
}

const (
	// readTimeoutMargin is how long a read of changes may take in addition to its wait.
	readTimeoutMargin = 1500 * time.Millisecond
	// snapshotTimeout bounds the read of a snapshot. It is long because sources bound each part
	// of the response themselves, and a slow link must not make the read start over.
	snapshotTimeout = 15 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed read. Each read has a cost,
	// even a refused one, but the recovery of the store must be noticed well within the
	// maximum age of the rules.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
)

// PollTiming configures how often a source is read.
type PollTiming struct {
	// MaxWait is how long a read waits for a change; Interval is the delay between a read and
	// the next.
	MaxWait, Interval time.Duration
	// FirstWait is how long the first read waits that follows one which ended early, because of a
	// change or a request for a read. Readers that are woken together and have different values
	// end their later reads at different times. Zero means MaxWait.
	FirstWait time.Duration
	// MaxBackoff bounds the delay after failed reads if it is longer than the default maximum.
	// A source with many readers needs a longer delay to bound the rate of all their requests.
	MaxBackoff time.Duration
}

// Follower reads a source continuously. Its exported fields are set before Run.
type Follower struct {
	// Name is used in logs.
	Name   string
	Source Source
	Clock  clock.Clock
	// Timing is called before each read; if it is nil, reads neither wait nor pause.
	Timing func() PollTiming
	// ExtraDelay is called at the end of a pause and returns how long the next read can still be
	// postponed, because other instances have read the source meanwhile. It may be nil.
	ExtraDelay func() time.Duration
	// Apply processes entries. If they are a snapshot, all keys that are not in it are removed.
	Apply func(entries []Entry, snapshot bool)
	// Confirm is called after each read that reached the end of the source, with the time at
	// which that read began. It may be nil.
	Confirm func(startedAt time.Time)

	next        Position
	hasPosition bool
	backoff     time.Duration
	sourceLost  atomic.Bool
	// endedEarly is set if the last read has not waited as long as it was to.
	endedEarly bool
	// lastRead is the time of the last successful read in Unix nanoseconds.
	lastRead atomic.Int64

	wake, sourceChanged Signal
	// skipWait is set if the next read must not wait for a change, and snapshotRequested if it
	// has to read a full snapshot.
	skipWait, snapshotRequested atomic.Bool
}

// Run reads the source until ctx ends.
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
			// The random part spreads the retries of readers that failed at the same time.
			clock.Sleep(ctx, f.Clock, f.backoff/2+rand.N(f.backoff/2))
		case !more:
			f.pause(ctx)
		}
	}
}

// RequestSnapshot requests an immediate read of a full snapshot instead of changes.
func (f *Follower) RequestSnapshot() {
	f.snapshotRequested.Store(true)
	f.wake.Send()
}

// Wake requests an immediate read. It ends a wait for changes or a pause.
func (f *Follower) Wake() { f.wake.Send() }

// SourceChanged requests an immediate read because the source has changed. It also cancels a read
// of changes in progress, since the previous source may not respond.
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

// sleepUnlessWoken sleeps and reports whether the time passed without a request for a read.
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

// beginRead returns the context of the next read and how long that read waits for a change. Wake
// cancels the context of a read that waits, SourceChanged that of any read of changes.
func (f *Follower) beginRead(ctx context.Context) (context.Context, context.CancelFunc, time.Duration) {
	wait := f.nextWait()
	if skip := f.skipWait.Swap(false); skip || f.backoff > 0 {
		// The first read after a failure confirms the known entries and must not wait for a
		// change: a wait of 1.5 s after the recovery of the store prolonged the refusal of
		// requests by 1.5 s.
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

// nextWait returns how long the next read waits for a change, unless it must not wait.
func (f *Follower) nextWait() time.Duration {
	t := f.timing()
	if f.endedEarly && t.FirstWait > 0 {
		return min(t.FirstWait, t.MaxWait)
	}

	return t.MaxWait
}

// LastRead returns the time of the last successful read, or the zero time if there was none.
func (f *Follower) LastRead() time.Time {
	if at := f.lastRead.Load(); at != 0 {
		return time.Unix(0, at)
	}

	return time.Time{}
}

// SourceLost reports whether the last read of the source failed.
func (f *Follower) SourceLost() bool { return f.sourceLost.Load() }

// readOnce reads a snapshot or changes once and reports whether more changes can be read
// immediately. It also returns true after a snapshot.
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
		f.next, f.hasPosition, f.endedEarly = next, true, true
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

	f.next, f.endedEarly = changes.Next, wait == 0 || len(changes.Entries) > 0
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

// recordResult records the result of a read, and logs when the source becomes unreachable and when
// it is reachable again.
func (f *Follower) recordResult(err error) {
	if err == nil {
		f.backoff = 0
		f.lastRead.Store(f.Clock.Now().UnixNano())

		if f.sourceLost.Swap(false) {
			klog.InfoS("dependency regained", "dependency", f.Name)
		}

		return
	}

	if !f.skipWait.Load() && !errors.Is(err, context.Canceled) && !errors.Is(err, ErrNoSource) && f.sourceLost.CompareAndSwap(false, true) {
		klog.InfoS("dependency lost", "dependency", f.Name, "err", err.Error())
	}
}
