package routing

import (
	"testing"
	"time"

	"monsoonlever/backend"
)

func TestPickSkipsSilentServerUntilItReports(t *testing.T) {
	const (
		servers = 8
		picks   = 1000
	)

	table := newTestTable(servers, 1<<20)
	random := newTestRandom()
	now := testStart

	// picked returns how often the first server is picked after an interval in which
	// all other servers report, and the first one only if reports is set.
	picked := func(reports bool) int {
		now = now.Add(3 * time.Second)

		for i := range servers {
			if i > 0 || reports {
				table.Report(now, testID(i), backend.LoadReport{At: now, Capacity: 1 << 20})
			}
		}

		table.Tick(now, random)

		total := 0

		for range picks {
			choice, err := table.Pick(now, random, NewRequest(testKey))
			if err != nil {
				t.Fatal(err)
			}

			if choice.ID() == testID(0) {
				total++
			}
		}

		return total
	}

	if got, want := picked(false), 0; got != want {
		t.Errorf("picks of the silent server: got %d, want %d", got, want)
	}

	if got := picked(true); got == 0 {
		t.Error("picks after it reports again: got 0, want some")
	}
}
