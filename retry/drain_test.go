package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const drainRate = 50

// newBusyEstimator returns an estimator of a service that finished drainRate
// requests per second.
func newBusyEstimator() *DrainEstimator {
	d := NewDrainEstimator(DrainPolicy{})
	for i := range 10 {
		d.RecordFinished(testStart.Add(-time.Duration(i)*time.Second), drainRate)
	}

	return d
}

// TestRetryAfterSpreadsCallersAtDrainRate guards against callers that are refused at
// the same time and retry within the same second.
func TestRetryAfterSpreadsCallersAtDrainRate(t *testing.T) {
	const callers = 1000

	d := newBusyEstimator()
	random := rand.NewPCG(1, 2)
	returns := map[int]int{}
	most := 0

	for range callers {
		second := CeilSeconds(d.RetryAfter(testStart, random, 0))
		returns[second]++
		most = max(most, returns[second])
	}

	t.Logf("%d callers refused at once, %d served a second: at most %d come back in one second", callers, drainRate, most)

	if want := 3 * drainRate / 2; most > want {
		t.Errorf("callers in one second: got %d, want at most %d", most, want)
	}
}

func TestRetryAfterEstimatesQueueTime(t *testing.T) {
	tests := []struct {
		desc     string
		finished bool
		excess   int
		least    time.Duration
		most     time.Duration
	}{
		{desc: "room soon", finished: true, excess: 0, least: time.Second, most: time.Second},
		{desc: "queue of 10 s", finished: true, excess: 10 * drainRate, least: 10 * time.Second, most: 12 * time.Second},
		{desc: "queue of an hour", finished: true, excess: 3600 * drainRate, least: 30 * time.Second, most: time.Minute},
		{desc: "nothing drains", finished: false, excess: 1, least: 30 * time.Second, most: time.Minute},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			d := NewDrainEstimator(DrainPolicy{})
			if tt.finished {
				d = newBusyEstimator()
			}

			got := d.RetryAfter(testStart, rand.NewPCG(1, 2), tt.excess)
			if got < tt.least || got > tt.most {
				t.Errorf("retry after: got %v, want %v to %v", got, tt.least, tt.most)
			}
		})
	}
}

func TestHoldsRetryAfterWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDrainEstimator(DrainPolicy{MinRetryAfter: 2 * time.Second, MaxRetryAfter: 30 * time.Second})
		random := rand.NewPCG(rapid.Uint64().Draw(t, "random"), 0)
		now := testStart

		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			d.RecordFinished(now, rapid.IntRange(0, 100_000).Draw(t, "finished"))

			got := d.RetryAfter(now, random, rapid.IntRange(-5, 1_000_000_000).Draw(t, "excess"))
			if got < 2*time.Second || got > 30*time.Second {
				t.Fatalf("retry after: got %v, want 2s to 30s", got)
			}
		}
	})
}
