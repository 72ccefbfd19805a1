package routing

import (
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/provider"
)

func TestUnlistedServerIsPickedWhileItReports(t *testing.T) {
	tests := []struct {
		desc    string
		reports bool
		after   time.Duration
		want    bool
	}{
		{desc: "just reported", reports: false, after: time.Second, want: true},
		{desc: "no report within the timeout", reports: false, after: 10 * time.Second, want: false},
		{desc: "keeps reporting", reports: true, after: 10 * time.Second, want: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable(1, 4)
			table.UpdateList(testStart, nil)

			now := testStart.Add(tt.after)
			if tt.reports {
				table.Report(now, testID(0), backend.LoadReport{At: now, Capacity: 4})
			}

			table.Tick(now, newTestRandom())

			_, err := table.Pick(now, newTestRandom(), NewRequest(testKey))
			if got := err == nil; got != tt.want {
				t.Errorf("picked: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestPickRequiresReadyEngine(t *testing.T) {
	key := NewKey(testKey.Service(), "m", "v1", "")

	tests := []struct {
		desc  string
		state backend.EngineState
		want  bool
	}{
		{desc: "loading", state: backend.EngineState{Model: "m", Version: "v1"}, want: false},
		{desc: "another version", state: backend.EngineState{Model: "m", Version: "v2", Ready: true}, want: false},
		{desc: "ready", state: backend.EngineState{Model: "m", Version: "v1", Ready: true}, want: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			table := newTestTable(1, 4)
			table.UpdateEngineState(testStart, testID(0), tt.state)

			_, err := table.Pick(testStart, newTestRandom(), NewRequest(key))
			if got := err == nil; got != tt.want {
				t.Errorf("picked: got %v, want %v", got, tt.want)
			}
		})
	}
}

func TestPickPrefersOwnDomainThenLowerPrice(t *testing.T) {
	table := &Table{Domain: testDomains[1], Policy: Policy{Choices: 20}}
	listings := testListings(4)
	listings[3].Class = "cheap"
	table.UpdateList(testStart, listings)
	table.UpdateOffers(testStart, []provider.Offer{
		{Class: "small", Domain: testDomains[0], PricePerHour: 2},
		{Class: "small", Domain: testDomains[1], PricePerHour: 2},
		{Class: "small", Domain: testDomains[2], PricePerHour: 2},
		{Class: "cheap", Domain: testDomains[3], PricePerHour: 1},
	})

	tests := []struct {
		desc    string
		request Request
		want    int
	}{
		{desc: "own failure domain", request: NewRequest(testKey), want: 1},
		{desc: "lowest price outside the own failure domain", request: NewRequest(testKey).ExcludingDomains(testDomains[1:2]), want: 3},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			choice, err := table.Pick(testStart, newTestRandom(), tt.request)
			if err != nil || choice.ID() != testID(tt.want) {
				t.Errorf("server: got %v and error %v, want %v", choice.ID(), err, testID(tt.want))
			}
		})
	}
}
