package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/feed"
)

// serveLog serves a log on loopback until the test ends and returns the address.
func serveLog(t *testing.T, l *Log) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	server := &Server{Clock: clock.NewSteady(), Feeds: map[string]*Log{"rules": l}}

	go func() {
		defer close(done)

		server.Run(ctx, listener)
	}()

	t.Cleanup(func() {
		cancel()
		<-done
	})

	return netip.MustParseAddrPort(listener.Addr().String())
}

func TestListenerIsClosedWhenRunReturns(t *testing.T) {
	const repeats = 500

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	address := listener.Addr().String()

	for repeat := range repeats {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})

		go func() {
			defer close(done)

			(&Server{Clock: clock.NewSteady()}).Run(ctx, listener)
		}()

		cancel()
		<-done

		if listener, err = net.Listen("tcp4", address); err != nil {
			t.Fatalf("repetition %d: got %v, want the address free", repeat, err)
		}
	}

	_ = listener.Close()
}

// countingOrigin is an origin that counts the reads of it.
type countingOrigin struct {
	*Log

	reads atomic.Int64
}

func (c *countingOrigin) Snapshot(ctx context.Context) ([]feed.Entry, feed.Position, error) {
	c.reads.Add(1)

	return c.Log.Snapshot(ctx)
}

func newLog(entries ...feed.Entry) *Log {
	l := &Log{Clock: clock.NewSteady()}
	l.Replace(entries, feed.PositionOf(1, uint64(len(entries))))

	return l
}

func TestSourceReadsFromAnotherInstance(t *testing.T) {
	remote := newLog(change("a", "x", 0))
	origin := &countingOrigin{Log: newLog()}
	up := Upstream{Address: serveLog(t, remote)}
	own := &Log{Clock: clock.NewSteady()}
	s := &Source{Feed: "rules", Origin: origin, Log: own, Upstream: func() Upstream { return up }, Dialer: &net.Dialer{}}

	entries, next, err := s.Snapshot(t.Context())
	if err != nil || len(entries) != 1 || !s.LastReadRelayed() {
		t.Fatalf("snapshot: got %v, %v, relayed %t, want one entry of the other instance", entries, err, s.LastReadRelayed())
	}

	go remote.Append([]feed.Entry{change("b", "y", 1)}, feed.PositionOf(1, 2))

	changes, err := s.Changes(t.Context(), next, 5*time.Second)
	if err != nil || len(changes.Entries) != 1 || changes.Next != feed.PositionOf(1, 2) {
		t.Fatalf("changes: got %v, %v, want b", changes, err)
	}

	if all, _ := snapshotOfLog(t, own); all["a"] != "x" || all["b"] != "y" {
		t.Errorf("own log: got %v, want both entries", all)
	}

	if n := origin.reads.Load(); n != 0 {
		t.Errorf("reads of the origin: got %d, want none", n)
	}

	up = Upstream{Origin: true}

	if _, _, err := s.Snapshot(t.Context()); err != nil || s.LastReadRelayed() || origin.reads.Load() != 1 {
		t.Errorf("from the origin: got %v, relayed %t, %d reads, want one", err, s.LastReadRelayed(), origin.reads.Load())
	}
}

func TestLargeSnapshotIsSplitIntoFrames(t *testing.T) {
	const n = 3000

	var entries []feed.Entry
	for i := range uint64(n) {
		entries = append(entries, feed.Entry{Key: string(rune('A' + i)), Data: make([]byte, 200), At: feed.PositionOf(1, i)})
	}

	if frames := splitIntoFrames(entries, 0); len(frames) < 5 {
		t.Errorf("frames: got %d, want several", len(frames))
	}

	address := serveLog(t, newLog(entries...))
	s := &Source{
		Feed: "rules", Log: &Log{Clock: clock.NewSteady()}, Dialer: &net.Dialer{},
		Upstream: func() Upstream { return Upstream{Address: address} },
	}

	if got, _, err := s.Snapshot(t.Context()); err != nil || len(got) != n {
		t.Errorf("got %d entries, %v, want %d", len(got), err, n)
	}
}

func TestReadsFailWithoutUsableUpstream(t *testing.T) {
	s := &Source{Feed: "rules", Log: &Log{Clock: clock.NewSteady()}, Upstream: func() Upstream { return Upstream{} }}
	if _, _, err := s.Snapshot(t.Context()); !errors.Is(err, feed.ErrNoSource) {
		t.Errorf("no upstream: got %v, want ErrNoSource", err)
	}

	address := serveLog(t, &Log{Clock: clock.NewSteady()})

	for _, name := range []string{"rules", "unknown"} {
		s := &Source{
			Feed: name, Log: &Log{Clock: clock.NewSteady()}, Dialer: &net.Dialer{},
			Upstream: func() Upstream { return Upstream{Address: address} },
		}
		if _, _, err := s.Snapshot(t.Context()); !errors.Is(err, ErrUnavailable) {
			t.Errorf("feed %s that the other instance has not read: got %v, want ErrUnavailable", name, err)
		}
	}
}

func TestLogIsEmptyUnlessKept(t *testing.T) {
	remote := newLog(change("a", "x", 0))
	own := &Log{Clock: clock.NewSteady()}
	keep := true
	s := &Source{
		Feed: "rules", Origin: remote, Log: own, Dialer: &net.Dialer{}, KeepLog: func() bool { return keep },
		Upstream: func() Upstream { return Upstream{Origin: true} },
	}

	for _, keep = range []bool{true, false, true} {
		if _, _, err := s.Snapshot(t.Context()); err != nil {
			t.Fatal(err)
		}

		if own.Loaded() != keep {
			t.Errorf("KeepLog %t: got loaded %t", keep, own.Loaded())
		}
	}
}

// The late response to a cancelled read must not be taken as the response to the next read.
func TestCancelledWaitDoesNotAnswerNextRead(t *testing.T) {
	remote := newLog(change("a", "x", 0))
	address := serveLog(t, remote)
	s := &Source{
		Feed: "rules", Log: newLog(change("a", "x", 0)), Dialer: &net.Dialer{},
		Upstream: func() Upstream { return Upstream{Address: address} },
	}

	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()

	if _, err := s.Changes(ctx, feed.PositionOf(1, 1), 10*time.Second); err == nil {
		t.Error("cancelled wait: got no error, want one")
	}

	remote.Append([]feed.Entry{change("b", "y", 1), change("c", "z", 2)}, feed.PositionOf(1, 3))

	got, err := s.Changes(t.Context(), feed.PositionOf(1, 2), 0)
	if err != nil || len(got.Entries) != 1 || got.Entries[0].Key != "c" {
		t.Errorf("next read: got %v, %v, want only c", got.Entries, err)
	}
}

// serveFirstFrameOnly sends only the first frame of each response and waits until the reader closes
// the connection.
func serveFirstFrameOnly(t *testing.T, l *Log) netip.AddrPort {
	t.Helper()

	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = listener.Close() })

	server := &Server{Clock: clock.NewSteady(), Feeds: map[string]*Log{"rules": l}}

	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}

			var r request
			if err := readMessage(conn, &r); err == nil {
				frames, _ := server.responseFrames(t.Context(), r)
				_, _ = conn.Write(frames[0])
				_, _ = conn.Read(make([]byte, 1))
			}

			_ = conn.Close()
		}
	}()

	return netip.MustParseAddrPort(listener.Addr().String())
}

// A long read over a slow link never completed if each interruption made it start over.
func TestInterruptedReadResumes(t *testing.T) {
	const n = 60

	remote := newLog()
	large := make([]byte, 2000)

	for i := range uint64(n) {
		// Several changes can share a position: a snapshot removes several keys at once.
		remote.Append([]feed.Entry{
			{Key: fmt.Sprint("a", i), Data: large, At: feed.PositionOf(1, i)},
			{Key: fmt.Sprint("b", i), Data: large, At: feed.PositionOf(1, i)},
		}, feed.PositionOf(1, i+1))
	}

	up := Upstream{Address: serveFirstFrameOnly(t, remote)}
	s := &Source{Feed: "rules", Origin: newLog(), Log: newLog(), Upstream: func() Upstream { return up }, Dialer: &net.Dialer{}}
	seen := make(map[string]bool)

	for at, reads := feed.PositionOf(1, 0), 0; at < feed.PositionOf(1, n-1); reads++ {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		changes, err := s.Changes(ctx, at, 0)

		cancel()

		if err != nil {
			t.Fatalf("read %d: got %v, want the entries of the first frame", reads, err)
		}

		if changes.Next <= at || changes.Next < feed.PositionOf(1, n) && changes.End <= changes.Next {
			t.Fatalf("read %d from %d: got next %d and end %d, want a later position before the end", reads, at.Offset(), changes.Next.Offset(), changes.End.Offset())
		}

		at = changes.Next

		for _, e := range changes.Entries {
			seen[e.Key] = true
		}
	}

	if got, least := len(seen), 2*(n-1); got < least {
		t.Errorf("changes: got %d, want at least %d", got, least)
	}
}

// sourceWithNewerInstance returns a source that reads from origin, except for its first read, which
// goes to the newer instance.
func sourceWithNewerInstance(origin *countingOrigin, newer netip.AddrPort) *Source {
	used := false

	return &Source{
		Feed: "rules", Origin: origin, Log: &Log{Clock: clock.NewSteady()}, Dialer: &net.Dialer{},
		Upstream: func() Upstream { return Upstream{Origin: true} },
		NewerInstance: func() (netip.AddrPort, bool) {
			if used {
				return netip.AddrPort{}, false
			}

			used = true

			return newer, true
		},
	}
}

func TestChangesAreReadFromNewerInstance(t *testing.T) {
	origin := &countingOrigin{Log: newLog(change("a", "x", 0))}
	other := newLog(change("a", "x", 0))
	other.Append([]feed.Entry{change("b", "y", 1)}, feed.PositionOf(1, 2))

	s := sourceWithNewerInstance(origin, serveLog(t, other))

	changes, err := s.Changes(t.Context(), feed.PositionOf(1, 1), 0)
	if err != nil || !s.LastReadRelayed() || len(changes.Entries) != 1 || changes.Next != feed.PositionOf(1, 2) {
		t.Errorf("first read: got %v, %v, relayed %t, want b from the newer instance", changes, err, s.LastReadRelayed())
	}

	if _, err := s.Changes(t.Context(), changes.Next, 0); err != nil || s.LastReadRelayed() {
		t.Errorf("second read: got %v, relayed %t, want a read of the origin", err, s.LastReadRelayed())
	}
}

// If the newer instance no longer retains the missed changes, the reader must keep its position.
// Otherwise each instance would read a full snapshot from the origin for one missed change.
func TestTrimmedNewerInstanceCausesNoSnapshot(t *testing.T) {
	trimmed := &Log{Clock: clock.NewSteady()}
	trimmed.Replace(nil, feed.PositionOf(1, 9))

	s := sourceWithNewerInstance(&countingOrigin{Log: newLog(change("a", "x", 0))}, serveLog(t, trimmed))

	if _, err := s.Changes(t.Context(), feed.PositionOf(1, 1), 0); err == nil || errors.Is(err, feed.ErrTrimmed) {
		t.Errorf("trimmed at the newer instance: got %v, want an error other than ErrTrimmed", err)
	}

	if _, err := s.Changes(t.Context(), feed.PositionOf(1, 1), 0); err != nil || s.LastReadRelayed() {
		t.Errorf("next read: got %v, relayed %t, want the origin", err, s.LastReadRelayed())
	}
}

func TestUnresponsiveNewerInstanceTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close() //nolint:errcheck // nothing was sent

	s := sourceWithNewerInstance(&countingOrigin{Log: newLog(change("a", "x", 0))}, netip.MustParseAddrPort(listener.Addr().String()))
	began := time.Now()

	if _, err := s.Changes(t.Context(), feed.PositionOf(1, 1), 0); err == nil {
		t.Error("unresponsive instance: got no error, want one")
	}

	if got, limit := time.Since(began), 2*catchUpTimeout; got > limit {
		t.Errorf("unresponsive instance: read ended after %v, want within %v", got, limit)
	}
}
