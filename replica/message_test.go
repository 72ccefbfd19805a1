package replica

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/clock"
	"monsoonlever/feed"
)

// logOfServers returns a log with the register entries of n backend servers.
func logOfServers(n int) *Log {
	random := rand.New(rand.NewPCG(1, 1))
	entries := make([]feed.Entry, 0, n)

	for i := range n {
		data := fmt.Sprintf(`{"service":"llm%d","address":"10.%d.%d.%d:8327","zone":"zone-%d","version":"v1","slots":32,`+
			`"state":"ready","coldRemainingMs":0,"sequence":%d,"born":%d,"preemptible":false}`,
			i%20/19, i%6+1, random.IntN(256), random.IntN(256), i%6, random.IntN(1000), 1780000000000+random.Int64N(1e8))
		entries = append(entries, feed.Entry{
			Key: fmt.Sprintf("i-%010x", random.Int64N(1<<40)), Data: []byte(data), At: feed.PositionOf(1, uint64(i)),
		})
	}

	l := &Log{Clock: clock.NewSteady()}
	l.Replace(entries, feed.PositionOf(1, uint64(n)))

	return l
}

func totalBytes(frames [][]byte) int {
	sum := 0
	for _, data := range frames {
		sum += len(data)
	}

	return sum
}

// When all instances start, the 20 subscribers of a relay read a snapshot of the register at the same
// time. Over a small link the start took too long, or never completed, with large snapshots.
func TestRelayLinkCarriesSnapshotsToAllSubscribers(t *testing.T) {
	const (
		subscribers        = 20
		linkBytesPerSecond = 10_000_000 / 8
		maxDuration        = 5 * time.Second
	)

	for _, n := range []int{3000, 6000} {
		var cache snapshotCache

		frames, err := cache.read(t.Context(), time.Unix(1000, 0), logOfServers(n))
		if err != nil {
			t.Fatal(err)
		}

		size := totalBytes(frames)
		if took := time.Duration(float64(subscribers*size) / linkBytesPerSecond * float64(time.Second)); took > maxDuration {
			t.Errorf("%d servers: got %d bytes, %v for %d subscribers, want at most %v", n, size, took, subscribers, maxDuration)
		}
	}
}

func TestEncodedSnapshotIsReusedWithinTTL(t *testing.T) {
	l := logOfServers(100)

	var cache snapshotCache

	now := time.Unix(1000, 0)
	read := func() *byte {
		frames, err := cache.read(t.Context(), now, l)
		if err != nil || len(frames) == 0 {
			t.Fatalf("got %d frames and %v, want some", len(frames), err)
		}

		return &frames[0][0]
	}

	first := read()
	l.Append([]feed.Entry{change("a", "x", 100)}, feed.PositionOf(1, 101))

	if got := read(); got != first {
		t.Error("within the TTL: got another encoding, want the same")
	}

	now = now.Add(snapshotTTL + time.Millisecond)

	if got := read(); got == first {
		t.Error("after the TTL: got the same encoding, want the newest")
	}

	l.Replace(nil, feed.PositionOf(2, 1))

	if frames, err := cache.read(t.Context(), now, l); err != nil || bytes.Contains(frames[0], []byte("i-")) {
		t.Errorf("after a new era: got %q and %v, want its snapshot", frames, err)
	}
}

func TestHoldsMessagesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := frame{Outcome: partial, Next: feed.Position(rapid.Uint64().Draw(t, "next"))}
		for range rapid.IntRange(0, 40).Draw(t, "entries") {
			want.Entries = append(want.Entries, entry{
				Key: rapid.String().Draw(t, "key"), Data: rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "data"),
			})
		}

		var (
			b   bytes.Buffer
			got frame
		)

		if err := writeMessage(&b, &want); err != nil {
			t.Fatal(err)
		}

		if err := readMessage(&b, &got); err != nil {
			t.Fatal(err)
		}

		if got.Next != want.Next || len(got.Entries) != len(want.Entries) {
			t.Fatalf("got %v, want %v", got, want)
		}

		for i := range want.Entries {
			if got.Entries[i].Key != want.Entries[i].Key || !bytes.Equal(got.Entries[i].Data, want.Entries[i].Data) {
				t.Errorf("entry %d: got %v, want %v", i, got.Entries[i], want.Entries[i])
			}
		}
	})
}

func TestOversizedOrCorruptMessageIsRejected(t *testing.T) {
	packed, err := compress(make([]byte, maxMessageBytes+1))
	if err != nil {
		t.Fatal(err)
	}

	var got frame

	data := append(newHeader(uint32(len(packed))|compressedFlag, len(packed)), packed...)
	if err := readMessage(bytes.NewReader(data), &got); !errors.Is(err, ErrFrame) {
		t.Errorf("oversized: got %v, want ErrFrame", err)
	}

	corrupt := append(newHeader(5|compressedFlag, 5), "abcde"...)
	if err := readMessage(bytes.NewReader(corrupt), &got); !errors.Is(err, ErrFrame) {
		t.Errorf("corrupt: got %v, want ErrFrame", err)
	}
}

func BenchmarkServerSnapshot(b *testing.B) {
	l := logOfServers(3000)

	for b.Loop() {
		var cache snapshotCache

		frames, err := cache.read(b.Context(), time.Unix(1000, 0), l)
		if err != nil {
			b.Fatal(err)
		}

		b.ReportMetric(float64(totalBytes(frames)), "bytes")
	}
}
