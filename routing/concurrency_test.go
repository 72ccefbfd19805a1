package routing

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"monsoonlever/backend"
)

// TestDrainedLeavingServerGetsNoRequest checks that a leaving server that once had no
// request in flight gets none afterwards, while picks, ticks and reports run
// concurrently.
func TestDrainedLeavingServerGetsNoRequest(t *testing.T) {
	const size, workers = 4, 4

	for round := range 50 {
		var (
			table           = newTestTable(size, 4)
			leaving         = testID(round % size)
			drained         atomic.Bool
			leavingInFlight atomic.Int64
			stopped         atomic.Bool
			wg              sync.WaitGroup
		)

		for worker := range workers {
			wg.Go(func() {
				random := rand.NewPCG(uint64(round), uint64(worker))

				for !stopped.Load() {
					choice, err := table.Pick(testStart, random, NewRequest(testKey).WithPrefix(7))
					drainedBefore := drained.Load()

					if err != nil || !choice.Begin(testStart) {
						continue
					}

					if drainedBefore && choice.ID() == leaving {
						t.Errorf("server %s: got a request after it was drained, want none", leaving)
					}

					if choice.ID() == leaving {
						leavingInFlight.Add(1)
						leavingInFlight.Add(-1)
					}

					choice.Done(testStart, time.Millisecond, 0)
				}
			})
		}

		table.MarkLeaving(testStart, leaving, SourceNotice)

		for !drained.Load() {
			table.Tick(testStart, rand.NewPCG(uint64(round), workers))
			table.Report(testStart, leaving, backend.LoadReport{At: testStart})

			for _, s := range table.Statuses() {
				if s.ID() == leaving && s.InFlight() == 0 {
					drained.Store(true)
				}
			}
		}

		for range 100 {
			if leavingInFlight.Load() > 0 {
				t.Errorf("server %s: got a request in flight after it was drained, want none", leaving)
			}
		}

		stopped.Store(true)
		wg.Wait()
	}
}
