package routing

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
)

var benchSizes = []int{10, 100, 1600}

func BenchmarkPick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			table := newTestTable(size, 8)
			random := newTestRandom()
			request := NewRequest(testKey).WithRepeatable()
			b.ReportAllocs()

			for b.Loop() {
				if _, err := table.Pick(testStart, random, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkPickWithPrefix(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			table := newTestTable(size, 8)
			random := newTestRandom()
			request := NewRequest(testKey).WithPrefix(42)

			for range 3 {
				choice, _ := table.Pick(testStart, random, request)
				choice.Sent(testStart)
			}

			b.ReportAllocs()

			for b.Loop() {
				if _, err := table.Pick(testStart, random, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPickAfterRetry excludes a failure domain and a server that was tried.
func BenchmarkPickAfterRetry(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			table := newTestTable(size, 8)
			random := newTestRandom()
			request := NewRequest(testKey).
				Excluding([]fleet.InstanceID{testID(1)}).
				ExcludingDomains(testDomains[:1])
			b.ReportAllocs()

			for b.Loop() {
				if _, err := table.Pick(testStart, random, request); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSentAndDone(b *testing.B) {
	table := newTestTable(10, 8)
	random := newTestRandom()
	request := NewRequest(testKey)
	b.ReportAllocs()

	for b.Loop() {
		choice, _ := table.Pick(testStart, random, request)
		choice.Sent(testStart)
		choice.Done(testStart, time.Millisecond, 0)
	}
}

func BenchmarkTick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			table := newTestTable(size, 8)
			random := newTestRandom()
			now := testStart

			for b.Loop() {
				now = now.Add(time.Millisecond)
				table.Tick(now, random)
			}
		})
	}
}

func BenchmarkUpdateList(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			table := newTestTable(size, 8)
			listings := testListings(size)

			for b.Loop() {
				table.UpdateList(testStart, listings)
			}
		})
	}
}

// TestPickAllocatesNothing keeps the path of a request free of allocations.
func TestPickAllocatesNothing(t *testing.T) {
	table := newTestTable(1600, 8)
	random := newTestRandom()
	request := NewRequest(testKey).WithPrefix(42).WithRepeatable()

	got := testing.AllocsPerRun(1000, func() {
		_, _ = table.Pick(testStart, random, request)
	})

	if want := 0.0; got != want {
		t.Errorf("allocations: got %v, want %v", got, want)
	}
}
