package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against retries that wait between their grant and their send, and come to more than the bound
// together with those that are granted by then.
func TestHoldsTotalRetriesThatWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		b := NewSharedBudgets(BudgetPolicy{Window: totalWindow, Share: instanceShare}, now)
		b.SetMinRetries(now, 0)

		budget := b.Of(testScope)

		var (
			requests, retries []countAt
			waiting           []time.Time
		)

		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)

			switch rapid.SampledFrom([]string{"request", "request", "grant", "grant", "send"}).Draw(t, "action") {
			case "request":
				n := rapid.IntRange(1, 300).Draw(t, "requests")
				for range n {
					budget.CountRequest(now)
				}

				requests = append(requests, countAt{now, n})
			case "grant":
				for range rapid.IntRange(1, 60).Draw(t, "wanted") {
					if budget.Take(now) {
						waiting = append(waiting, now)
					}
				}
			case "send":
				retries = append(retries, countAt{now, sendWaiting(budget, now, waiting)})
				waiting = nil
			}

			if got, want := sumWithin(retries, now), boundOn(requests, now); got > want {
				t.Fatalf("retries sent in the last %v: got %d, want at most %d", totalWindow, got, want)
			}
		}
	})
}

// sendWaiting sends retries that were granted before, those that the budget still allows, and returns
// their number.
func sendWaiting(b *Budget, now time.Time, grants []time.Time) int {
	sent := 0

	for _, at := range grants {
		if !b.Covers(now, at) {
			b.Return(at)

			if !b.Take(now) {
				continue
			}
		}

		sent++
	}

	return sent
}
