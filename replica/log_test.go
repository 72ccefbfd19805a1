package replica

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/clock"
	"monsoonlever/feed"
)

func change(key, data string, at uint64) feed.Entry {
	return feed.Entry{Key: key, Data: []byte(data), At: feed.PositionOf(1, at)}
}

func snapshotOfLog(t *testing.T, l *Log) (map[string]string, feed.Position) {
	t.Helper()

	entries, next, err := l.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}

	all := make(map[string]string)
	for _, e := range entries {
		all[e.Key] = string(e.Data)
	}

	return all, next
}

func TestEmptyLogIsUnavailable(t *testing.T) {
	l := &Log{Clock: clock.NewSteady()}

	if _, _, err := l.Snapshot(context.Background()); !errors.Is(err, ErrUnavailable) {
		t.Errorf("snapshot: got %v, want ErrUnavailable", err)
	}

	if _, err := l.Changes(context.Background(), 0, 0); !errors.Is(err, ErrUnavailable) {
		t.Errorf("changes: got %v, want ErrUnavailable", err)
	}
}

func TestEquivalentEntriesAreNotForwarded(t *testing.T) {
	l := &Log{Clock: clock.NewSteady(), Equivalent: func(a, b feed.Entry) bool { return bytes.Equal(a.Data[:1], b.Data[:1]) }}
	l.Replace([]feed.Entry{change("a", "x1", 0)}, feed.PositionOf(1, 1))
	l.Append([]feed.Entry{change("a", "x2", 1), change("b", "y1", 2)}, feed.PositionOf(1, 3))

	got, err := l.Changes(context.Background(), feed.PositionOf(1, 1), 0)
	if err != nil {
		t.Fatal(err)
	}

	if len(got.Entries) != 1 || got.Entries[0].Key != "b" || got.Next != feed.PositionOf(1, 3) {
		t.Errorf("changes: got %v up to %d, want b up to 3", got.Entries, got.Next.Offset())
	}
}

func TestReaderAheadOfLogWaits(t *testing.T) {
	l := &Log{Clock: clock.NewSteady()}
	l.Replace(nil, feed.PositionOf(1, 1))

	ahead := feed.PositionOf(1, 5)

	got, err := l.Changes(context.Background(), ahead, 0)
	if err != nil || len(got.Entries) != 0 || got.Next != ahead {
		t.Errorf("reader ahead: got %v, %v, want no changes and its own position", got, err)
	}

	go l.Append([]feed.Entry{change("old", "x", 3), change("new", "y", 6)}, feed.PositionOf(1, 7))

	got, err = l.Changes(context.Background(), ahead, 5*time.Second)
	if err != nil || len(got.Entries) != 1 || got.Entries[0].Key != "new" {
		t.Errorf("after the log has caught up: got %v, %v, want only the new change", got, err)
	}
}

// A snapshot can skip both the addition and the removal of a key. A reader whose position lies in
// that gap would never learn of the removal and would keep a terminated backend server.
func TestPositionInsideGapIsTrimmed(t *testing.T) {
	l := &Log{Clock: clock.NewSteady()}
	l.Replace(nil, feed.PositionOf(1, 0))
	// At the origin, a key was added at 1 and removed at 3. The snapshot shows neither.
	l.Replace([]feed.Entry{change("a", "x", 4)}, feed.PositionOf(1, 5))

	for at, want := range map[uint64]error{0: nil, 1: feed.ErrTrimmed, 2: feed.ErrTrimmed, 4: feed.ErrTrimmed, 5: nil, 6: nil} {
		if _, err := l.Changes(t.Context(), feed.PositionOf(1, at), 0); !errors.Is(err, want) {
			t.Errorf("changes from %d: got %v, want %v", at, err, want)
		}
	}

	for i := range uint64(2 * maxGaps) {
		l.Replace([]feed.Entry{change("a", "x", 10*i+10)}, feed.PositionOf(1, 10*i+11))
	}

	if got := len(l.gaps); got > maxGaps {
		t.Errorf("gaps: got %d, want at most %d", got, maxGaps)
	}

	if _, err := l.Changes(t.Context(), feed.PositionOf(1, 15), 0); !errors.Is(err, feed.ErrTrimmed) {
		t.Errorf("changes from an evicted gap: got %v, want ErrTrimmed", err)
	}
}

func TestNewEraTrimsEarlierPositions(t *testing.T) {
	l := &Log{Clock: clock.NewSteady()}
	l.Replace([]feed.Entry{change("a", "x", 8)}, feed.PositionOf(1, 9))
	l.Replace([]feed.Entry{{Key: "b", Data: []byte("y"), At: feed.PositionOf(2, 3)}}, feed.PositionOf(2, 4))

	if _, err := l.Changes(context.Background(), feed.PositionOf(1, 9), 0); !errors.Is(err, feed.ErrTrimmed) {
		t.Errorf("changes of an earlier era: got %v, want ErrTrimmed", err)
	}

	if all, next := snapshotOfLog(t, l); len(all) != 1 || all["b"] != "y" || next.Era() != 2 {
		t.Errorf("snapshot: got %v up to era %d, want b of era 2", all, next.Era())
	}
}

func TestLogBoundsRetainedChanges(t *testing.T) {
	l := &Log{Clock: clock.NewSteady()}
	l.Replace(nil, feed.PositionOf(1, 0))

	const n, size = 100, 100_000

	for i := range uint64(n) {
		l.Append([]feed.Entry{{Key: "k", Data: make([]byte, size), At: feed.PositionOf(1, i)}}, feed.PositionOf(1, i+1))
	}

	if l.changesBytes > maxChangesBytes {
		t.Errorf("retained changes: got %d bytes, want at most %d", l.changesBytes, maxChangesBytes)
	}

	if _, err := l.Changes(context.Background(), feed.PositionOf(1, 1), 0); !errors.Is(err, feed.ErrTrimmed) {
		t.Errorf("evicted changes: got %v, want ErrTrimmed", err)
	}

	if got, err := l.Changes(context.Background(), feed.PositionOf(1, n-5), 0); err != nil || len(got.Entries) != 5 {
		t.Errorf("newest changes: got %d, %v, want 5", len(got.Entries), err)
	}
}

// A reader that follows changes ends with the entries of the origin, whichever logs it reads from.
func TestHoldsReadersConvergeToOrigin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		origin := &Log{Clock: clock.NewSteady()}
		origin.Replace(nil, feed.PositionOf(1, 0))

		relays := []*Log{{Clock: clock.NewSteady()}, {Clock: clock.NewSteady()}}
		follow := func(from, to *Log) {
			changes, err := from.Changes(context.Background(), to.End(), 0)
			if to.loaded && err == nil {
				to.Append(changes.Entries, changes.Next)

				return
			}

			if entries, next, err := from.Snapshot(context.Background()); err == nil {
				to.Replace(entries, next)
			}
		}
		reader := &Log{Clock: clock.NewSteady()}
		era, offset := uint64(1), uint64(0)

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				data := []byte(fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "value")))
				if rapid.Bool().Draw(t, "remove") {
					data = nil
				}

				key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(t, "key"))
				origin.Append([]feed.Entry{{Key: key, Data: data, At: feed.PositionOf(era, offset)}}, feed.PositionOf(era, offset+1))
				offset++
			case 2:
				follow(origin, relays[rapid.IntRange(0, 1).Draw(t, "relay")])
			case 3:
				follow(relays[rapid.IntRange(0, 1).Draw(t, "relay")], reader)
			case 4:
				// A relay reads a full snapshot again.
				entries, next, _ := origin.Snapshot(context.Background())
				relays[0].Replace(entries, next)
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					entries, _, _ := origin.Snapshot(context.Background())
					era++
					offset++

					for i := range entries {
						entries[i].At = feed.PositionOf(era, 0)
					}

					origin.Replace(entries, feed.PositionOf(era, offset))
				}
			}
		}

		follow(origin, relays[1])
		follow(relays[1], reader)

		want, _, _ := origin.Snapshot(context.Background())

		got, _, err := reader.Snapshot(context.Background())
		if err != nil {
			t.Fatal(err)
		}

		if len(got) != len(want) {
			t.Fatalf("got %v, want %v", got, want)
		}

		for i := range want {
			if got[i].Key != want[i].Key || !bytes.Equal(got[i].Data, want[i].Data) {
				t.Errorf("got %v, want %v", got[i], want[i])
			}
		}
	})
}
