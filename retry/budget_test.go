package retry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestHoldsRetriesWithinBudget checks the budget over every window that ends at a
// retry, to the nanosecond.
func TestHoldsRetriesWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := BudgetPolicy{
			Window:     10 * time.Second,
			Share:      rapid.Float64Range(0.01, 1).Draw(t, "share"),
			MinRetries: rapid.IntRange(1, 5).Draw(t, "least"),
		}
		b := NewBudgets(policy).Of(testScope)
		now := testStart

		var requests, retries []time.Time

		within := func(times []time.Time) int {
			n := 0
			for _, at := range times {
				if now.Sub(at) <= policy.Window {
					n++
				}
			}

			return n
		}

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)

			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				b.CountRequest(now)
				requests = append(requests, now)
			}

			for range rapid.IntRange(0, 30).Draw(t, "retries") {
				if b.Take(now) {
					retries = append(retries, now)
				}
			}

			most := int(policy.Share*float64(within(requests))) + policy.MinRetries
			if got := within(retries); len(retries) > 0 && retries[len(retries)-1].Equal(now) && got > most {
				t.Fatalf("%d retries in the last %v, want at most %d", got, policy.Window, most)
			}
		}
	})
}

// TestBudgetGrantsItsShare guards against a budget that holds because it refuses
// every retry.
func TestBudgetGrantsItsShare(t *testing.T) {
	b := NewBudgets(BudgetPolicy{}).Of(testScope)
	now := testStart
	taken := 0

	const seconds, rate = 60, 100

	for range seconds * rate {
		now = now.Add(time.Second / rate)
		b.CountRequest(now)

		if b.Take(now) {
			taken++
		}
	}

	got := float64(taken) / (seconds * rate)
	if got < 0.07 || got > 0.1 {
		t.Errorf("share of retries: got %.3f, want 0.07 to 0.1", got)
	}
}

func TestBudgetIsNotExceededConcurrently(t *testing.T) {
	const workers, tries, want = 8, 2000, 50

	for range 20 {
		b := NewBudgets(BudgetPolicy{MinRetries: want}).Of(testScope)

		var (
			taken atomic.Int64
			wg    sync.WaitGroup
		)

		for range workers {
			wg.Go(func() {
				for range tries {
					if b.Take(testStart) {
						taken.Add(1)
					}
				}
			})
		}

		wg.Wait()

		if got := taken.Load(); got > want {
			t.Errorf("retries: got %d, want at most %d", got, want)
		}
	}
}

func TestBudgetsAreSeparatePerScope(t *testing.T) {
	b := NewBudgets(BudgetPolicy{})
	other := NewScope("payrun-api", "wholesale-2")

	for b.Of(testScope).Take(testStart) {
	}

	if !b.Of(other).Take(testStart) {
		t.Errorf("budget of another account: got it exhausted, want a separate one")
	}
}

func BenchmarkTake(b *testing.B) {
	budget := NewSharedBudgets(BudgetPolicy{}, testStart).Of(testScope)
	budget.CountRequest(testStart)

	for b.Loop() {
		budget.Take(testStart)
	}
}
