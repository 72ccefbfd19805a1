package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/backend"
)

func TestPickReturnsPrefixHolder(t *testing.T) {
	const prefix = 7

	stored := backend.CacheEvent{Sequence: 1, Prefix: prefix}
	evicted := backend.CacheEvent{Sequence: 2, Prefix: prefix, Evicted: true}

	tests := []struct {
		desc   string
		events []backend.CacheEvent
		after  time.Duration
		want   bool
	}{
		{desc: "stored", events: []backend.CacheEvent{stored}, want: true},
		{desc: "evicted", events: []backend.CacheEvent{stored, evicted}, want: false},
		{desc: "older event after a newer one", events: []backend.CacheEvent{evicted, stored}, want: false},
		{desc: "stored after a gap", events: []backend.CacheEvent{{Sequence: 9, Prefix: prefix}}, want: true},
		{desc: "expired", events: []backend.CacheEvent{stored}, after: time.Hour, want: false},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable(9, 4)
			table.CacheEvents(testStart, testID(5), tt.events)

			choice, err := table.Pick(testStart.Add(tt.after), newTestRandom(), NewRequest(testKey).WithPrefix(prefix))
			if err != nil {
				t.Fatal(err)
			}

			if got := choice.ByPrefix() && choice.ID() == testID(5); got != tt.want {
				t.Errorf("picked the holder for its prefix: got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestHoldsPrefixNeverOverridesLoad checks that the most loaded server is picked for
// its cached prefix only while its utilisation is within the affinity bound.
func TestHoldsPrefixNeverOverridesLoad(t *testing.T) {
	const capacity = 4

	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 9).Draw(t, "size")
		holder := rapid.IntRange(0, size-1).Draw(t, "holder")
		holderLoad := rapid.IntRange(1, 12).Draw(t, "most")
		table := newTestTable(size, capacity)
		random := rand.NewPCG(rapid.Uint64().Draw(t, "random"), 0)
		now := testStart.Add(time.Second)
		total := holderLoad

		for i := range size {
			running := holderLoad
			if i != holder {
				running = rapid.IntRange(0, holderLoad-1).Draw(t, "running")
				total += running
			}

			table.Report(now, testID(i), backend.LoadReport{At: now, Running: running, Capacity: capacity})
		}

		table.CacheEvents(now, testID(holder), []backend.CacheEvent{{Sequence: 1, Prefix: 7}})
		table.Tick(now, random)

		choice, err := table.Pick(now, random, NewRequest(testKey).WithPrefix(7))
		if err != nil {
			t.Fatal(err)
		}

		mean := float64(total) / float64(capacity*size)
		bound := min(1, 1.5*(mean+1.0/capacity))
		utilisation := float64(holderLoad+1) / capacity

		if want := utilisation <= bound; choice.ByPrefix() != want {
			t.Fatalf("picked for its prefix at utilisation %.2f with bound %.2f: got %v, want %v",
				utilisation, bound, choice.ByPrefix(), want)
		}
	})
}

func TestPrefixIndexSizeIsBounded(t *testing.T) {
	const size = 64

	p := newPrefixIndex(size, time.Minute)
	for prefix := range uint64(10 * size) {
		p.add(testStart, prefix, newServer("server", prefix))
	}

	got := 0

	for i := range p.sets {
		for j := range p.sets[i] {
			if p.sets[i][j].Load() != nil {
				got++
			}
		}
	}

	if got > size {
		t.Errorf("entries in the prefix index: got %d, want at most %d", got, size)
	}
}
