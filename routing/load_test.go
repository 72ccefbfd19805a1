package routing

import (
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// TestLoadCountsOwnRequestsOnce checks that requests of this entry instance are neither
// counted twice nor omitted when a load report lags.
func TestLoadCountsOwnRequestsOnce(t *testing.T) {
	const second = time.Second

	tests := []struct {
		desc string
		// sent and done are the times at which requests of this entry instance began
		// and ended.
		sent    []time.Duration
		done    []time.Duration
		at      time.Duration
		running int
		want    int64
	}{
		{desc: "all sent before the report", sent: []time.Duration{0, 0}, at: second, running: 5, want: 5},
		{desc: "all sent after the report", sent: []time.Duration{second, second}, at: 0, running: 5, want: 7},
		{desc: "one before and one after the report", sent: []time.Duration{0, 2 * second}, at: second, running: 5, want: 6},
		{desc: "one ended after the report", sent: []time.Duration{0, 0}, done: []time.Duration{2 * second}, at: second, running: 5, want: 4},
		{desc: "report lacks own requests", sent: []time.Duration{0, 0}, at: second, running: 0, want: 2},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable(1, 4)
			start := testStart.Add(time.Second)

			var choices []Choice

			for _, at := range tt.sent {
				choice, _ := table.Pick(start.Add(at), newTestRandom(), NewRequest(testKey))
				choice.Begin(start.Add(at))
				choices = append(choices, choice)
			}

			for i, at := range tt.done {
				choices[i].Done(start.Add(at), at, 0)
			}

			report := backend.LoadReport{At: start.Add(tt.at), Running: tt.running, Capacity: 4}
			table.Report(start.Add(3*second), testID(0), report)

			if got := table.Statuses()[0].Load(); got != tt.want {
				t.Errorf("load: got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestPickSkipsExcludedServersAndDomains(t *testing.T) {
	const size = 8

	tests := []struct {
		desc    string
		ids     []fleet.InstanceID
		domains []fleet.FailureDomain
		want    int
	}{
		{desc: "no exclusion", want: 8},
		{desc: "one server", ids: []fleet.InstanceID{testID(3)}, want: 7},
		{desc: "one failure domain", domains: testDomains[:1], want: 6},
		{desc: "all failure domains but one, and one server in it", ids: []fleet.InstanceID{testID(3)}, domains: testDomains[:3], want: 1},
		{desc: "all failure domains", domains: testDomains, want: 0},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable(size, 4)
			random := newTestRandom()
			request := NewRequest(testKey).Excluding(tt.ids).ExcludingDomains(tt.domains)
			picked := map[fleet.InstanceID]bool{}

			for range 500 {
				if choice, err := table.Pick(testStart, random, request); err == nil {
					picked[choice.ID()] = true
				}
			}

			if got := len(picked); got != tt.want {
				t.Errorf("servers picked: got %d, want %d", got, tt.want)
			}
		})
	}
}
