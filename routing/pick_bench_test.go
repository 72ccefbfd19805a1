package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

var benchSizes = []int{10, 100, 1600}

func BenchmarkPick(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			table := newTestTable(size, 8)
			random := newTestRandom()
			request := NewRequest(testKey).WithIdempotent()
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
				choice.Begin(testStart)
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

// BenchmarkPickForRetry excludes a failure domain and a server, as a retry does.
func BenchmarkPickForRetry(b *testing.B) {
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
		choice.Begin(testStart)
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

// TestPickAllocatesNothing guards against heap allocations on the request path.
func TestPickAllocatesNothing(t *testing.T) {
	table := newTestTable(1600, 8)
	random := newTestRandom()
	request := NewRequest(testKey).WithPrefix(42).WithIdempotent()

	got := testing.AllocsPerRun(1000, func() {
		_, _ = table.Pick(testStart, random, request)
	})

	if want := 0.0; got != want {
		t.Errorf("allocations: got %v, want %v", got, want)
	}
}

func BenchmarkReport(b *testing.B) {
	table := newTestTable(1600, 8)
	now := testStart
	i := 0

	for b.Loop() {
		now = now.Add(time.Millisecond)
		i = (i + 1) % 1600
		table.Report(now, testID(i), backend.LoadReport{At: now, Running: 3, Capacity: 8})
	}
}

// BenchmarkMemory reports the memory of a table per server, and that of its prefix
// index when full.
func BenchmarkMemory(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				table := newTestTable(size, 8)
				withServers := heapInUse()

				for prefix := range uint64(4 * table.policy.MaxPrefixes) {
					table.prefixes.add(testStart, prefix, table.servers[testID(0)])
				}

				full := heapInUse()
				b.ReportMetric(float64(withServers-before)/float64(size), "B/server")
				b.ReportMetric(float64(full-withServers), "B/prefixes")
				runtime.KeepAlive(table)
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()

	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}
