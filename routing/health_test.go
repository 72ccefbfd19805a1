package routing

import (
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// faultScenario sends requests to the servers of a table, one of which is faulty.
type faultScenario struct {
	table   *Table
	now     time.Time
	request Request
	faulty  fleet.InstanceID
	finish  func(Choice, time.Time)
	// faultyRequests is the number of requests that the faulty server got.
	faultyRequests int
}

const (
	requestInterval = 10 * time.Millisecond
	requestsPerTick = 25
)

// run sends one request per requestInterval, with a tick and a report of the faulty
// server after every requestsPerTick requests.
func (s *faultScenario) run(t *testing.T, d time.Duration) {
	t.Helper()

	random := newTestRandom()

	for step := range int(d / requestInterval) {
		s.now = s.now.Add(requestInterval)

		choice, err := s.table.Pick(s.now, random, s.request)
		if err != nil || !choice.Begin(s.now) {
			t.Fatalf("pick or begin failed: error %v", err)
		}

		if choice.ID() == s.faulty {
			s.faultyRequests++
			s.finish(choice, s.now)
		} else {
			choice.Done(s.now, 10*time.Millisecond, 0)
		}

		if step%requestsPerTick == 0 {
			s.table.Tick(s.now, random)
			s.table.Report(s.now, s.faulty, backend.LoadReport{At: s.now, Capacity: 4})
		}
	}
}

func succeed(c Choice, now time.Time)       { c.Done(now, 10*time.Millisecond, 0) }
func succeedSlowly(c Choice, now time.Time) { c.Done(now, 100*time.Millisecond, 0) }
func failReset(c Choice, now time.Time)     { c.Failed(now, FailReset) }
func failDial(c Choice, now time.Time)      { c.Failed(now, FailDial) }

func TestTickEjectsFaultyServerAndReadmitsRecovered(t *testing.T) {
	idempotent := NewRequest(testKey).WithIdempotent()

	tests := []struct {
		desc    string
		request Request
		finish  func(Choice, time.Time)
		// maxFaulty is the maximum number of requests to the faulty server in a minute.
		maxFaulty int
	}{
		{desc: "slow", request: idempotent, finish: succeedSlowly, maxFaulty: 60},
		{desc: "resets", request: idempotent, finish: failReset, maxFaulty: 60},
		{desc: "can't be dialed", request: idempotent, finish: failDial, maxFaulty: 20},
		{desc: "can't be dialed, non-idempotent requests", request: NewRequest(testKey), finish: failDial, maxFaulty: 20},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			s := &faultScenario{table: newTestTable(9, 4), now: testStart, request: tt.request, faulty: testID(4), finish: tt.finish}
			s.run(t, time.Minute)
			t.Logf("requests to the faulty server: %d of 6000", s.faultyRequests)

			if s.faultyRequests > tt.maxFaulty {
				t.Errorf("requests while faulty: got %d, want at most %d", s.faultyRequests, tt.maxFaulty)
			}

			s.faultyRequests, s.finish = 0, succeed
			s.run(t, 3*time.Minute)

			if want := 1000; s.faultyRequests < want {
				t.Errorf("requests after recovery: got %d of 18000, want at least %d", s.faultyRequests, want)
			}
		})
	}
}

func TestTickEjectsNoneWhenAllServersFail(t *testing.T) {
	table := newTestTable(9, 4)
	random := newTestRandom()
	now := testStart

	for range 2000 {
		now = now.Add(requestInterval)

		choice, err := table.Pick(now, random, NewRequest(testKey))
		if err != nil || !choice.Begin(now) {
			t.Fatalf("pick or begin failed: error %v", err)
		}

		choice.Failed(now, FailServer)
		table.Tick(now, random)
	}

	for _, s := range table.Statuses() {
		if s.Ejected() {
			t.Errorf("server %s: got ejected, want not ejected", s.ID())
		}
	}
}

func TestPickUsesEjectedServerAsLastResort(t *testing.T) {
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

// TestUnansweredProbeBlocksFurtherProbes checks that an ejected server that doesn't
// answer a probe gets no further ones meanwhile.
func TestUnansweredProbeBlocksFurtherProbes(t *testing.T) {
	s := &faultScenario{table: newTestTable(9, 4), now: testStart, request: NewRequest(testKey).WithIdempotent(), faulty: testID(4), finish: failDial}
	s.run(t, 10*time.Second)

	s.faultyRequests = 0
	s.finish = func(Choice, time.Time) {}
	s.run(t, 50*time.Second)

	if want := 1; s.faultyRequests > want {
		t.Errorf("probes in flight: got %d, want at most %d", s.faultyRequests, want)
	}
}
