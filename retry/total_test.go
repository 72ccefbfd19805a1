package retry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// countAt is a number of requests or retries at a time.
type countAt struct {
	at time.Time
	n  int
}

// sumWithin returns the sum of the counts in the window that ends at a time, which is part of it.
func sumWithin(counts []countAt, end time.Time) int {
	sum := 0

	for _, c := range slices.Backward(counts) {
		if end.Sub(c.at) >= totalWindow {
			break
		}

		if !c.at.After(end) {
			sum += c.n
		}
	}

	return sum
}

// Guards against a share of the requests that is spent again by other processes within a window.
func TestHoldsTotalRetriesOverProcesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		policy := BudgetPolicy{Window: totalWindow, Share: instanceShare}

		start := func() *Budgets {
			b := NewSharedBudgets(policy, now)
			b.SetMinRetries(now, 0)

			return b
		}

		processes := make([]*Budgets, rapid.IntRange(1, 5).Draw(t, "processes"))
		for i := range processes {
			processes[i] = start()
		}

		var requests, retries []countAt

		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(processes)-1).Draw(t, "process")

			switch rapid.SampledFrom([]string{"request", "request", "retry", "retry", "restart"}).Draw(t, "action") {
			case "request":
				n := rapid.IntRange(1, 300).Draw(t, "requests")
				for range n {
					processes[i].Of(testScope).CountRequest(now)
				}

				requests = append(requests, countAt{now, n})
			case "retry":
				n := 0
				for processes[i].Of(testScope).Take(now) {
					n++
				}

				retries = append(retries, countAt{now, n})
			case "restart":
				processes[i] = start()
			}

			got := sumWithin(retries, now)
			most := max(sumWithin(requests, now), sumWithin(requests, now.Add(-totalWindow/2)), sumWithin(requests, now.Add(-totalWindow)))

			if want := int(totalShare * float64(most)); got > want {
				t.Fatalf("retries in the last %v: got %d, want at most %d for %d requests", totalWindow, got, want, most)
			}
		}
	})
}
