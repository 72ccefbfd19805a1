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

// ErrUnavailable means that an instance has not read a feed yet.
var ErrUnavailable = merry.Sentinel("feed was not read yet")

// maxChangesBytes bounds the retained changes. A reader whose position is older than them has to
// read a full snapshot.
const maxChangesBytes = 4 << 20

// maxGaps bounds the number of recorded gaps.
const maxGaps = 32

// entryOverheadBytes is the memory of an entry in addition to its key and data.
const entryOverheadBytes = 64

// Log stores the newest entry of each key of a feed and its recent changes. It is a
// feed.Source. Its exported fields are set before its first use; it is safe for concurrent
// use.
type Log struct {
	Clock clock.Clock
	// Equivalent reports whether a new entry of a key carries the same information as the entry
	// before it. Such an entry is discarded. If Equivalent is nil, all entries are added.
	Equivalent func(before, after feed.Entry) bool

	mu           sync.Mutex
	loaded       bool
	latest       map[string]feed.Entry
	changes      []feed.Entry
	changesBytes int
	// oldest is the position from which all changes are retained; next is the end of the log.
	oldest, next feed.Position
	// gaps are the ranges of positions that snapshots have skipped. Keys that were added and
	// removed within a gap are unknown.
	gaps []gap
	// changed is closed and replaced whenever the log changes.
	changed chan struct{}
}

// gap is a range of positions without its bounds.
type gap struct {
	from, to feed.Position
}

func (g gap) contains(p feed.Position) bool { return g.from < p && p < g.to }

// Replace replaces the content of the log with a full snapshot that ends at next. Readers can
// continue from next, and from the previous end of the log unless the era changed or next is before
// that end. Positions between the two are recorded as a gap.
func (l *Log) Replace(entries []feed.Entry, next feed.Position) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.loaded || next.Era() != l.next.Era() || next < l.next {
		// Readers at earlier positions cannot continue to this snapshot.
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

	// Readers continue from the position of a change, so changes must stay in order of position.
	slices.SortStableFunc(l.changes, func(a, b feed.Entry) int { return cmp.Compare(a.At, b.At) })

	l.loaded = true
	l.advance(next)
}

// Clear removes all entries. The log is unavailable until the next Replace.
func (l *Log) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.loaded {
		l.loaded, l.latest, l.changes, l.changesBytes, l.gaps = false, nil, nil, 0, nil
	}
}

// Loaded reports whether the log holds a snapshot of the feed.
func (l *Log) Loaded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.loaded
}

// Append adds changes up to next. It does nothing if the log holds no snapshot.
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

// add adds one entry; the log is locked. It ignores data that is not newer than the known entry,
// data that is equivalent to it, and the removal of an unknown key.
func (l *Log) add(e feed.Entry) {
	before, known := l.latest[e.Key]
	if known && e.At <= before.At && len(e.Data) > 0 || !known && len(e.Data) == 0 {
		return
	}

	if known && l.Equivalent != nil && len(e.Data) > 0 && l.Equivalent(before, e) {
		return
	}

	// The data may be a slice of a much larger response, which would stay in memory.
	e.Data = bytes.Clone(e.Data)

	if len(e.Data) == 0 {
		delete(l.latest, e.Key)
	} else {
		l.latest[e.Key] = e
	}

	l.changes = append(l.changes, e)
	l.changesBytes += entrySize(e)
}

// advance moves the end of the log to next, evicts the oldest changes over maxChangesBytes, and
// wakes the readers that wait for a change; the log is locked.
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

// Snapshot returns the newest entry of each key, sorted by key.
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

// HasChangesSince reports whether the log retains all changes since a position.
func (l *Log) HasChangesSince(from feed.Position) bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.loaded && from.Era() == l.next.Era() && l.hasChangesSince(from)
}

func (l *Log) hasChangesSince(from feed.Position) bool {
	return from >= l.oldest && !slices.ContainsFunc(l.gaps, func(g gap) bool { return g.contains(from) })
}

// recordGap records a gap and removes the gaps before the oldest retained change. If there are
// maxGaps gaps, the oldest gap is removed and positions before its end are treated as trimmed.
func (l *Log) recordGap(g gap) {
	l.gaps = slices.DeleteFunc(l.gaps, func(g gap) bool { return g.to <= l.oldest })

	if len(l.gaps) == maxGaps {
		l.oldest = l.gaps[0].to
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}

	l.gaps = append(l.gaps, g)
}

// End returns the position of the end of the log.
func (l *Log) End() feed.Position {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.next
}

// Changes returns the changes from a position on. If there is none, it waits up to wait for one. A
// reader that is ahead of this log gets no changes until the log has caught up.
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

// changesSince returns the retained changes from a position on, and a channel that is closed at the
// next change.
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
