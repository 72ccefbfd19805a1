package retry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// sharedProcess is one of the processes that share a bound. It learns of a change of their number
// after a delay.
type sharedProcess struct {
	budgets *Budgets
	// splits are the parts that it is told, and when.
	splits []sharedSplit
}

type sharedSplit struct {
	at   time.Time
	part float64
}

func (p *sharedProcess) advance(now time.Time) {
	for len(p.splits) > 0 && !now.Before(p.splits[0].at) {
		p.budgets.SetMinRetries(p.splits[0].at, p.splits[0].part)
		p.splits = p.splits[1:]
	}
}

// Guards against processes that together exceed a bound on retries since one of them started again,
// was added or left.
func TestHoldsSharedBudgetOverProcesses(t *testing.T) {
	const (
		bound    = 60
		window   = 10 * time.Second
		maxDelay = 3 * time.Second
	)

	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		policy := BudgetPolicy{Window: window, Share: 1e-9}

		var (
			processes []*sharedProcess
			retries   []time.Time
		)

		split := func() {
			part := bound / float64(max(len(processes), 1))

			for _, p := range processes {
				// News of an earlier change does not arrive after that of a later one.
				at := now.Add(time.Duration(rapid.IntRange(0, int(maxDelay.Milliseconds())).Draw(t, "delayMs")) * time.Millisecond)
				p.splits = slices.DeleteFunc(p.splits, func(s sharedSplit) bool { return !s.at.Before(at) })
				p.splits = append(p.splits, sharedSplit{at, part})
			}
		}

		start := func() {
			processes = append(processes, &sharedProcess{budgets: NewSharedBudgets(policy, now)})
		}

		for range rapid.IntRange(1, 9).Draw(t, "processes") {
			start()
		}

		split()

		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)

			switch rapid.SampledFrom([]string{"spend", "restart", "add", "leave"}).Draw(t, "action") {
			case "restart":
				if len(processes) > 0 {
					i := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
					processes[i] = &sharedProcess{budgets: NewSharedBudgets(policy, now)}

					split()
				}
			case "add":
				start()
				split()
			case "leave":
				if len(processes) > 0 {
					i := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
					processes = slices.Delete(processes, i, i+1)

					split()
				}
			}

			for _, p := range processes {
				p.advance(now)

				for range rapid.IntRange(0, bound).Draw(t, "wanted") {
					if p.budgets.Of(testScope).Take(now) {
						retries = append(retries, now)
					}
				}
			}

			first := slices.IndexFunc(retries, func(at time.Time) bool { return now.Sub(at) <= window })
			if first >= 0 && len(retries)-first > bound {
				t.Fatalf("retries in the last %v: got %d, want at most %d", window, len(retries)-first, bound)
			}
		}
	})
}

// Guards against a bound that holds because processes never get their part of it.
func TestSharedBudgetGrantsPartAfterWindow(t *testing.T) {
	const part = 7

	b := NewSharedBudgets(BudgetPolicy{}, testStart)
	b.SetMinRetries(testStart.Add(time.Second), part)

	for _, tt := range []struct {
		after time.Duration
		want  float64
	}{{time.Second, 0}, {10 * time.Second, 0}, {11 * time.Second, part}} {
		if got := b.MinRetries(testStart.Add(tt.after)); got != tt.want {
			t.Errorf("part %v after the start: got %v, want %v", tt.after, got, tt.want)
		}
	}

	now := testStart.Add(20 * time.Second)
	b.SetMinRetries(now, 2*part)

	if got := b.MinRetries(now.Add(10 * time.Second)); got != part {
		t.Errorf("larger part within the window: got %v, want %v", got, part)
	}

	if got, want := b.MinRetries(now.Add(11*time.Second)), float64(2*part); got != want {
		t.Errorf("larger part after the window: got %v, want %v", got, want)
	}

	b.SetMinRetries(now.Add(12*time.Second), 1)

	if got := b.MinRetries(now.Add(12 * time.Second)); got != 1 {
		t.Errorf("smaller part: got %v at once, want 1", got)
	}
}

// Guards against a system that starts for the first time and has no fixed part of its retries.
func TestFirstStartHasItsPartAtOnce(t *testing.T) {
	const part = 7

	b := NewSharedBudgets(BudgetPolicy{}, testStart)
	b.SetMinRetries(testStart, 4*part)

	if got := b.MinRetries(testStart.Add(time.Second)); got != 0 {
		t.Errorf("part before it is known that nobody ran before: got %v, want 0", got)
	}

	b.SetMinRetries(testStart.Add(time.Second), part)
	b.MarkUnspent()

	if got := b.MinRetries(testStart.Add(time.Second)); got != part {
		t.Errorf("part of a first start: got %v, want %v", got, part)
	}
}

// Guards against processes with few requests each that lose their part of a bound by rounding.
func TestFractionsOfBudgetAddUp(t *testing.T) {
	b := NewBudgets(BudgetPolicy{Share: 0.16})
	b.SetMinRetries(testStart, 2.6)

	budget := b.Of(testScope)
	for range 6 {
		budget.CountRequest(testStart)
	}

	got := 0
	for budget.Take(testStart) {
		got++
	}

	// 0.96 as a share of the requests and 2.6 beside.
	if want := 3; got != want {
		t.Errorf("retries: got %d, want %d", got, want)
	}
}
