package replica

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
	"monsoonlever/feed"
)

// ErrUnavailable means that an instance has nothing of a feed yet.
var ErrUnavailable = merry.Sentinel("feed was not read yet")

// maxChangesBytes bounds the changes that are kept for instances that read on; one that has
// missed older changes reads the whole set.
const maxChangesBytes = 4 << 20

// maxGaps bounds the gaps that are remembered.
const maxGaps = 32

// entryOverheadBytes is what an entry takes beside its key and data.
const entryOverheadBytes = 64

// Log keeps the newest entry of each key of a feed and its recent changes. It is a
// feed.Source. Its exported fields are set before its first use; it is safe for concurrent
// use.
type Log struct {
	Clock clock.Clock
	// Equivalent reports whether an entry says nothing that the one before did not say. Such an
	// entry is not passed on; nil passes all on.
	Equivalent func(before, after feed.Entry) bool

	mu           sync.Mutex
	loaded       bool
	latest       map[string]feed.Entry
	changes      []feed.Entry
	changesBytes int
	// oldest is from where on all changes are kept, and next where the log ends.
	oldest, next feed.Position
	// gaps are the positions that whole sets have skipped: what came and went there is not known.
	gaps []gap
	// changed is closed and replaced with each change.
	changed chan struct{}
}

// gap holds the positions between two others, without both.
type gap struct {
	from, to feed.Position
}

func (g gap) contains(p feed.Position) bool { return g.from < p && p < g.to }

// Replace puts a whole set in place of what was known. Changes are found from next on, and from
// where the log ended before.
func (l *Log) Replace(entries []feed.Entry, next feed.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.loaded || next.Era() != l.next.Era() || next < l.next {
		// No position of before leads to this set.
		l.latest, l.changes, l.changesBytes = make(map[string]feed.Entry, len(entries)), nil, 0
		l.oldest, l.gaps = next, nil
	} else {
		l.recordGap(gap{from: l.next, to: next})
	}

	missing := make(map[string]bool, len(l.latest))
	for key := range l.latest {
		missing[key] = true
	}

	for _, e := range entries {
		delete(missing, e.Key)
		l.add(e)
	}

	for key := range missing {
		l.add(feed.Entry{Key: key, At: next - 1})
	}

	// Readers go on from the position of a change: changes stay in their order.
	slices.SortStableFunc(l.changes, func(a, b feed.Entry) int { return cmp.Compare(a.At, b.At) })

	l.loaded = true
	l.advance(next)
}

// Clear forgets all. The log has nothing until the next Replace.
func (l *Log) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.loaded {
		l.loaded, l.latest, l.changes, l.changesBytes, l.gaps = false, nil, nil, 0, nil
	}
}

// Loaded reports whether the log has the feed.
func (l *Log) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.loaded
}

// Append adds changes up to next.
func (l *Log) Append(entries []feed.Entry, next feed.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.loaded {
		return
	}

	for _, e := range entries {
		l.add(e)
	}

	l.advance(next)
}

// add takes one entry in; the log is locked.
func (l *Log) add(e feed.Entry) {
	before, known := l.latest[e.Key]
	if known && e.At <= before.At && len(e.Data) > 0 || !known && len(e.Data) == 0 {
		return
	}

	if known && l.Equivalent != nil && len(e.Data) > 0 && l.Equivalent(before, e) {
		return
	}

	// The data may be a part of a much larger answer.
	e.Data = bytes.Clone(e.Data)

	if len(e.Data) == 0 {
		delete(l.latest, e.Key)
	} else {
		l.latest[e.Key] = e
	}

	l.changes = append(l.changes, e)
	l.changesBytes += entrySize(e)
}

// advance ends a change of the log at next and wakes those that wait for it; the log is locked.
func (l *Log) advance(next feed.Position) {
	l.next = max(l.next, next)
	if l.next.Era() != next.Era() {
		l.next = next
	}

	evicted := 0
	for l.changesBytes > maxChangesBytes {
		l.changesBytes -= entrySize(l.changes[evicted])
		l.oldest = l.changes[evicted].At + 1
		evicted++
	}

	l.changes = slices.Delete(l.changes, 0, evicted)

	if l.changed != nil {
		close(l.changed)
	}

	l.changed = make(chan struct{})
}

func entrySize(e feed.Entry) int { return entryOverheadBytes + len(e.Key) + len(e.Data) }

// Snapshot returns the newest entry of each key in the order of the keys.
func (l *Log) Snapshot(context.Context) ([]feed.Entry, feed.Position, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.loaded {
		return nil, 0, ErrUnavailable
	}

	entries := make([]feed.Entry, 0, len(l.latest))
	for _, e := range l.latest {
		entries = append(entries, e)
	}

	slices.SortFunc(entries, func(a, b feed.Entry) int { return cmp.Compare(a.Key, b.Key) })

	return entries, l.next, nil
}

// HasChangesSince reports whether all changes since a position are kept.
func (l *Log) HasChangesSince(from feed.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.loaded && from.Era() == l.next.Era() && l.hasChangesSince(from)
}

func (l *Log) hasChangesSince(from feed.Position) bool {
	return from >= l.oldest && !slices.ContainsFunc(l.gaps, func(g gap) bool { return g.contains(from) })
}

// recordGap notes a gap. Gaps that no kept change follows are forgotten; of many, the oldest bounds
// what is kept.
func (l *Log) recordGap(g gap) {
	l.gaps = slices.DeleteFunc(l.gaps, func(g gap) bool { return g.to <= l.oldest })

	if len(l.gaps) == maxGaps {
		l.oldest = l.gaps[0].to
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}

	l.gaps = append(l.gaps, g)
}

// End returns where the log ends.
func (l *Log) End() feed.Position {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.next
}

// Changes returns the changes from a position on, or waits for one. A reader that is ahead
// of this log gets none until the log has caught up.
func (l *Log) Changes(ctx context.Context, from feed.Position, wait time.Duration) (feed.Changes, error) {
	timeout := l.Clock.After(wait)

	for {
		changes, changed, err := l.changesSince(from)
		if err != nil || len(changes.Entries) > 0 || wait <= 0 {
			return changes, err
		}

		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return feed.Changes{}, ctx.Err()
		}
	}
}

// changesSince returns what is kept from a position on, and what is closed with the next change.
func (l *Log) changesSince(from feed.Position) (feed.Changes, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.loaded {
		return feed.Changes{}, nil, ErrUnavailable
	}

	if !l.hasChangesSince(from) {
		return feed.Changes{}, nil, feed.ErrTrimmed
	}

	start, _ := slices.BinarySearchFunc(l.changes, from, func(e feed.Entry, from feed.Position) int { return cmp.Compare(e.At, from) })
	end := max(from, l.next)

	return feed.Changes{Entries: slices.Clone(l.changes[start:]), Next: end, End: end}, l.changed, nil
}
