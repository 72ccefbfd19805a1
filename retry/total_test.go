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

// boundOn returns how many retries the share of the requests allows in the window that ends at a
// time: that of the requests in the window, the one before or the one half a window before, whichever
// has most.
func boundOn(requests []countAt, end time.Time) int {
	most := max(sumWithin(requests, end), sumWithin(requests, end.Add(-totalWindow/2)), sumWithin(requests, end.Add(-totalWindow)))

	return int(totalShare * float64(most))
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

			if got, want := sumWithin(retries, now), boundOn(requests, now); got > want {
				t.Fatalf("retries in the last %v: got %d, want at most %d", totalWindow, got, want)
			}
		}
	})
}

// Guards against a bound that holds because a process uses little of a share that is its own.
func TestCommonShareIsUsedUp(t *testing.T) {
	const rate, seconds = 100, 60

	b := NewSharedBudgets(BudgetPolicy{Window: totalWindow, Share: instanceShare}, testStart)
	b.SetMinRetries(testStart, 0)

	budget := b.Of(testScope)
	retries := 0

	for i := range rate * seconds {
		now := testStart.Add(time.Duration(i) * time.Second / rate)
		budget.CountRequest(now)

		if budget.Take(now) {
			retries++
		}
	}

	// A retry counts for a tenth longer than the window.
	if want := rate * seconds * instanceShare * 10 / 11; float64(retries) < 0.9*want {
		t.Errorf("retries while all requests fail: got %d, want nearly %.0f", retries, want)
	}
}

// Guards against a failure that begins suddenly and finds nothing saved to send requests again.
func TestCommonShareGrantsForRequestsBefore(t *testing.T) {
	const rate, seconds = 100, 10

	b := NewSharedBudgets(BudgetPolicy{Window: totalWindow, Share: instanceShare}, testStart)
	b.SetMinRetries(testStart, 0)

	budget := b.Of(testScope)
	for i := range rate * seconds {
		budget.CountRequest(testStart.Add(time.Duration(i) * time.Second / rate))
	}

	got := 0
	for budget.Take(testStart.Add(seconds * time.Second)) {
		got++
	}

	if want := int(rate * (seconds - 1) * instanceShare * earlierPart); got < want {
		t.Errorf("retries at the begin of a failure: got %d, want at least %d", got, want)
	}
}
