package routing

import (
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// serving drives a table with requests to servers of which one is faulty.
type serving struct {
	table   *Table
	now     time.Time
	request Request
	faulty  fleet.InstanceID
	fault   func(Choice, time.Time)
	// got counts the requests that the faulty server got.
	got int
}

const (
	servingStep  = 10 * time.Millisecond
	servingSteps = 25
)

// run sends a request at every step, with a tick and reports every 25 steps.
func (s *serving) run(t *testing.T, d time.Duration) {
	t.Helper()

	random := newTestRandom()

	for step := range int(d / servingStep) {
		s.now = s.now.Add(servingStep)

		choice, err := s.table.Pick(s.now, random, s.request)
		if err != nil || !choice.Begin(s.now) {
			t.Fatalf("no server: %v", err)
		}

		if choice.ID() == s.faulty {
			s.got++
			s.fault(choice, s.now)
		} else {
			choice.Done(s.now, 10*time.Millisecond, 0)
		}

		if step%servingSteps == 0 {
			s.table.Tick(s.now, random)
			s.table.Report(s.now, s.faulty, backend.LoadReport{At: s.now, Capacity: 4})
		}
	}
}

func healthy(c Choice, now time.Time) { c.Done(now, 10*time.Millisecond, 0) }
func slow(c Choice, now time.Time)    { c.Done(now, 100*time.Millisecond, 0) }
func resets(c Choice, now time.Time)  { c.Failed(now, FailReset) }
func deaf(c Choice, now time.Time)    { c.Failed(now, FailDial) }

func TestFaultyServerIsEjectedAndReadmitted(t *testing.T) {
	repeatable := NewRequest(testKey).WithIdempotent()

	tests := []struct {
		desc    string
		request Request
		fault   func(Choice, time.Time)
		// most is how many requests the faulty server may get in a minute.
		most int
	}{
		{desc: "slow", request: repeatable, fault: slow, most: 60},
		{desc: "resets", request: repeatable, fault: resets, most: 60},
		{desc: "can't be dialled", request: repeatable, fault: deaf, most: 20},
		{desc: "can't be dialled, requests may not probe", request: NewRequest(testKey), fault: deaf, most: 20},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := &serving{table: newTestTable(9, 4), now: testStart, request: tt.request, faulty: testID(4), fault: tt.fault}
			s.run(t, time.Minute)
			t.Logf("requests to the faulty server: %d of 6000", s.got)

			if s.got > tt.most {
				t.Errorf("requests while faulty: got %d, want at most %d", s.got, tt.most)
			}

			s.got, s.fault = 0, healthy
			s.run(t, 3*time.Minute)

			if want := 1000; s.got < want {
				t.Errorf("requests once well: got %d of 18000, want at least %d", s.got, want)
			}
		})
	}
}

func TestFaultOfAllServersEjectsNone(t *testing.T) {
	table := newTestTable(9, 4)
	random := newTestRandom()
	now := testStart

	for range 2000 {
		now = now.Add(servingStep)

		choice, err := table.Pick(now, random, NewRequest(testKey))
		if err != nil || !choice.Begin(now) {
			t.Fatalf("no server: %v", err)
		}

		choice.Failed(now, FailServer)
		table.Tick(now, random)
	}

	for _, s := range table.Statuses() {
		if s.Ejected() {
			t.Errorf("%s: got ejected, want none", s.ID())
		}
	}
}

func TestLastServersServeThoughEjected(t *testing.T) {
	table := newTestTable(3, 4)
	random := newTestRandom()

	choice, _ := table.Pick(testStart, random, NewRequest(testKey))
	choice.Begin(testStart)
	choice.Failed(testStart, FailDial)
	table.Tick(testStart, random)

	var others []fleet.InstanceID
	for i := range 3 {
		if id := testID(i); id != choice.ID() {
			others = append(others, id)
		}
	}

	last, err := table.Pick(testStart, random, NewRequest(testKey).Excluding(others))
	if err != nil || last.ID() != choice.ID() {
		t.Errorf("pick: got %v and error %v, want the ejected server", last, err)
	}
}

// TestProbesDoNotPileUp gives an ejected server probes that it doesn't answer.
func TestProbesDoNotPileUp(t *testing.T) {
	s := &serving{table: newTestTable(9, 4), now: testStart, request: NewRequest(testKey).WithIdempotent(), faulty: testID(4), fault: deaf}
	s.run(t, 10*time.Second)

	s.got = 0
	s.fault = func(Choice, time.Time) {}
	s.run(t, 50*time.Second)

	if want := 1; s.got > want {
		t.Errorf("probes in flight: got %d, want at most %d", s.got, want)
	}
}
