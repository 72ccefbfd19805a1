package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/quota"
	"monsoonlever/register"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// lossThreshold is the number of servers that a request must crash before it is quarantined.
const lossThreshold = 3

// crashFixture is a fixture with eight engines, each of which crashes at its first request.
type crashFixture struct {
	*fixture
	crashed map[string]*atomic.Bool
	// refusedDials counts the dials to crashed servers.
	refusedDials atomic.Int64
	// dialError is the error of such a dial.
	dialError error
}

func newCrashFixture(t *testing.T) *crashFixture {
	t.Helper()

	f := &crashFixture{fixture: newFixture(t, 100), crashed: make(map[string]*atomic.Bool), dialError: unix.ECONNREFUSED}

	var servers []register.Server

	for _, name := range []string{"llm-1", "llm-2", "llm-3", "llm-4", "llm-5", "llm-6", "llm-7", "llm-8"} {
		f.crashed[name] = &atomic.Bool{}
		servers = append(servers, register.Server{ID: fleet.InstanceID(name), Service: "llm", Address: name, Domain: "a", Slots: 8})
	}

	f.Scheduler.Update(servers)
	f.Pool.Dial = f.dial
	f.respond = func(address string, _ int, r *http.Request) string {
		f.crashed[address].Store(true)

		return signedStream(r, 1, 0, true)
	}

	return f
}

func (f *crashFixture) dial(ctx context.Context, address string) (net.Conn, error) {
	if f.crashed[address].Load() {
		f.refusedDials.Add(1)

		return nil, f.dialError
	}

	return f.fixture.dial(ctx, address)
}

// fingerprintOf returns the fingerprint of the requests that call sends to a route.
func fingerprintOf(route string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("acme", http.MethodPost, "a.example", "/"+route+"/x", nil)
}

// runTerminationChecks advances the clock so that running termination checks finish.
func (s *fixture) runTerminationChecks() {
	for range 20 {
		s.clock.Advance(terminationDelay)
		time.Sleep(time.Millisecond)
	}
}

// awaitLosses runs termination checks until the given number of losses is recorded.
func (s *fixture) awaitLosses(want int) {
	s.t.Helper()

	for limit := time.Now().Add(10 * time.Second); len(s.Quarantine.StoredLosses(s.clock.Now())) < want; s.runTerminationChecks() {
		if time.Now().After(limit) {
			s.t.Fatalf("recorded losses: got %d, want %d", len(s.Quarantine.StoredLosses(s.clock.Now())), want)
		}
	}
}

func (s *fixture) quarantined(route string) bool {
	_, quarantined := s.Quarantine.Quarantined(s.clock.Now(), fingerprintOf(route))

	return quarantined
}

func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	for _, route := range []string{"tell", "talk"} {
		f := newCrashFixture(t)

		for len(f.arrivals()) < lossThreshold {
			f.call(route, "r")
			f.awaitLosses(len(f.arrivals()))
		}

		before := len(f.arrivals())
		outcome, got := f.call(route, "r-last")

		if len(f.arrivals()) != before || outcome.Reason != Quarantined || !outcome.NotRun {
			t.Errorf("%s: got %+v and %d more arrivals, want it quarantined and not run", route, outcome, len(f.arrivals())-before)
		}

		if len(got.refusals) != 1 || got.refusals[0].RetryAfter <= 0 {
			t.Errorf("%s: got %+v, want one refusal with a Retry-After", route, got.refusals)
		}
	}
}

// limitCounter is a Limits that counts its calls.
type limitCounter struct{ calls int }

func (l *limitCounter) Take(context.Context, quota.Charge) quota.Decision {
	l.calls++

	return quota.Decision{Granted: true}
}

// Guards against a quarantined request consuming the limit of its account.
func TestQuarantinedRequestConsumesNoLimit(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	limits := &limitCounter{}
	s.Limits = limits
	s.rules.Store(rulesWithLimit(t, 100))

	s.call("once", "r-1")
	s.recordLosses("tell")
	s.call("tell", "r-2")

	if limits.calls != 1 {
		t.Errorf("limit: got %d calls, want one, for the request that is not quarantined", limits.calls)
	}
}

// Guards against sending a request that was quarantined while it waited for a connection.
func TestRequestQuarantinedDuringDialIsNotSent(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.onDial = func(string) { s.recordLosses("once") }

	outcome, _ := s.call("once", "r")
	if len(s.arrivals()) != 0 || outcome.Reason != Quarantined || !outcome.NotRun {
		t.Errorf("got %+v and %d arrivals, want it quarantined and no arrival", outcome, len(s.arrivals()))
	}
}

// recordLosses records as many losses as quarantine the requests of a route.
func (s *fixture) recordLosses(route string) {
	for i := range lossThreshold {
		s.Quarantine.RecordLoss(s.clock.Now(), fingerprintOf(route), register.Process{ID: "i", Incarnation: fleet.Incarnation(i)}, quarantine.Strong)
	}
}

// Guards against reporting a cut stream as not run because its request was quarantined
// meanwhile: the request may have run.
func TestQuarantinedRunningStreamIsNotReportedAsNotRun(t *testing.T) {
	f := newCrashFixture(t)
	f.respond = func(address string, _ int, r *http.Request) string {
		f.crashed[address].Store(true)
		f.recordLosses("talk")

		return signedStream(r, 1, 2, true)
	}

	outcome, _ := f.call("talk", "r")
	if outcome.Reason != StreamBroken || outcome.NotRun || len(f.arrivals()) != 1 {
		t.Errorf("got %+v and %d arrivals, want a broken stream after one", outcome, len(f.arrivals()))
	}
}

// Guards against quarantining a request that was lost with several servers only because it ran
// beside the request that crashed them: a complete response clears its earlier losses.
func TestCompleteResponseClearsLosses(t *testing.T) {
	f := newCrashFixture(t)

	for n := range lossThreshold - 1 {
		f.call("tell", "r")
		f.awaitLosses(n + 1)
	}

	f.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 2, false) }

	if outcome, _ := f.call("tell", "r"); outcome.Reason != Answered {
		t.Fatalf("got %+v, want it answered", outcome)
	}

	f.Quarantine.RecordLoss(f.clock.Now(), fingerprintOf("tell"), register.Process{ID: "another"}, quarantine.Strong)

	if f.quarantined("tell") {
		t.Error("a request that was answered since: got it quarantined, want it served")
	}
}

// Guards against quarantining requests whose server aborts responses and keeps running, can't be
// reached, or terminates after it announced that it leaves: none of that is caused by a request.
func TestOnlyServerCrashCountsAsLoss(t *testing.T) {
	tests := map[string]func(f *crashFixture){
		"servers that abort responses and keep running": func(f *crashFixture) {
			f.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 0, true) }
		},
		"servers that send invalid responses": func(f *crashFixture) {
			f.respond = func(string, int, *http.Request) string { return "garbage\r\n\r\n" }
		},
		"servers that can't be reached": func(f *crashFixture) { f.dialError = errors.New("no route to host") },
		"servers that announced before that they leave": func(f *crashFixture) {
			f.respond = func(address string, _ int, r *http.Request) string {
				f.announceLeaving("llm", address)
				f.crashed[address].Store(true)

				return signedStream(r, 1, 0, true)
			}
		},
		"servers that announce shortly after that they leave": func(f *crashFixture) {
			f.respond = func(address string, _ int, r *http.Request) string {
				f.crashed[address].Store(true)
				time.AfterFunc(time.Millisecond/2, func() { f.announceLeaving("llm", address) })

				return signedStream(r, 1, 0, true)
			}
		},
	}

	for name, change := range tests {
		f := newCrashFixture(t)
		change(f)

		for range lossThreshold + 1 {
			f.call("tell", "r")
			time.Sleep(2 * time.Millisecond)
			f.runTerminationChecks()
		}

		if f.quarantined("tell") {
			t.Errorf("%s: got the request quarantined, want it served", name)
		}
	}
}

// Guards against one dial per request when many requests are lost with the same server.
func TestConcurrentLossesProbeServerOnce(t *testing.T) {
	const concurrent = 10

	f := newCrashFixture(t)
	release := make(chan struct{})
	f.respond = func(_ string, n int, r *http.Request) string {
		if n == concurrent {
			for _, crashed := range f.crashed {
				crashed.Store(true)
			}

			close(release)
		}

		<-release

		return signedStream(r, 1, 0, true)
	}

	done := make(chan struct{}, concurrent)

	for range concurrent {
		go func() {
			f.call("tell", "r")

			done <- struct{}{}
		}()
	}

	for range concurrent {
		<-done
	}

	f.awaitLosses(1)

	if got, most := int(f.refusedDials.Load()), len(f.crashed); got == 0 || got > most {
		t.Errorf("dials to %d crashed servers: got %d, want at least one, and one each at most", most, got)
	}
}

// Guards against another dial for each request that is lost after the crash was detected.
func TestLateLossDoesNotProbeAgain(t *testing.T) {
	f := newCrashFixture(t)
	f.Scheduler.Update([]register.Server{{ID: "llm-1", Service: "llm", Address: "llm-1", Domain: "a", Slots: 8}})

	var arrived sync.WaitGroup

	arrived.Add(2)

	release := [2]chan struct{}{make(chan struct{}), make(chan struct{})}
	f.respond = func(_ string, n int, r *http.Request) string {
		arrived.Done()
		<-release[n-1]

		return signedStream(r, 1, 0, true)
	}

	done := make(chan struct{}, 2)

	for _, id := range []string{"first", "second"} {
		go func() {
			f.call("tell", id)

			done <- struct{}{}
		}()
	}

	arrived.Wait()
	f.crashed["llm-1"].Store(true)

	for i := range release {
		close(release[i])
		<-done
		f.runTerminationChecks()
	}

	if got := f.refusedDials.Load(); got != 1 {
		t.Errorf("dials to a crashed server: got %d, want one", got)
	}
}

// Guards against ignoring a crash late in a stream, since a request may crash its server at any
// event, and against weighing it as much as a crash at the start of a response.
func TestLossEvidenceDependsOnStreamProgress(t *testing.T) {
	for name, tt := range map[string]struct {
		kind   ruleset.Kind
		begun  bool
		events bool
		ran    time.Duration
		want   []quarantine.Evidence
	}{
		"a stream that waited":              {kind: ruleset.Streaming, want: []quarantine.Evidence{quarantine.Weak}},
		"a stream without an event":         {kind: ruleset.Streaming, begun: true, want: []quarantine.Evidence{quarantine.Strong}},
		"a stream with its first events":    {kind: ruleset.Streaming, begun: true, events: true, want: []quarantine.Evidence{quarantine.Weak}},
		"a stream that has run for a while": {kind: ruleset.Streaming, begun: true, events: true, ran: time.Minute, want: []quarantine.Evidence{quarantine.Weak}},
		"a call":                            {kind: ruleset.Unsafe, want: []quarantine.Evidence{quarantine.Strong}},
	} {
		f := newCrashFixture(t)

		a, err := f.Scheduler.Pick(f.clock.Now(), scheduling.Request{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}

		a.Start(f.clock.Now())

		if tt.events {
			a.FirstEventReceived(f.clock.Now())
		}

		f.clock.Advance(tt.ran)

		f.crashed[a.Address()].Store(true)

		j := &job{forwarder: f.Forwarder, request: &Request{ID: "r"}, fingerprint: 1, route: &ruleset.Route{Kind: tt.kind}}
		f.recordLoss(t.Context(), j, a, tt.begun, upstream.ErrGarbled)
		f.runTerminationChecks()
		f.awaitLosses(len(tt.want))

		var got []quarantine.Evidence
		for _, loss := range f.Quarantine.StoredLosses(f.clock.Now()) {
			got = append(got, loss.Evidence)
		}

		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: got evidence %v, want %v", name, got, tt.want)
		}
	}
}

// Guards against a limit on the number of servers tried. Four of six servers crashed within
// 0.15 s, and another request was refused after it had tried those four, whose entries were
// still in the register, although two servers could have served it. A refused connection proves
// immediately that nothing has run.
func TestRequestIsServedByOnlyReachableServer(t *testing.T) {
	f := newCrashFixture(t)
	f.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 2, false) }

	for name, crashed := range f.crashed {
		crashed.Store(name != "llm-8")
	}

	if outcome, got := f.call("tell", "r"); outcome.Reason != Answered {
		t.Errorf("one of %d servers is reachable: got %v after %d refused dials and %+v, want it answered",
			len(f.crashed), outcome.Reason, f.refusedDials.Load(), got.refusals)
	}
}

// Guards against a request that is retried after its caller has abandoned it. Behind a network
// cut each dial runs into its timeout, so that the time and not the number of servers tried must
// end the attempts.
func TestRequestFailsAfterAbandonDeadline(t *testing.T) {
	f := newCrashFixture(t)
	f.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 2, false) }

	const slow = 700 * time.Millisecond

	f.Pool.Dial = func(context.Context, string) (net.Conn, error) {
		f.clock.Advance(slow)

		return nil, context.DeadlineExceeded
	}

	outcome, got := f.call("tell", "r")
	if outcome.Reason != Overloaded || !outcome.NotRun {
		t.Errorf("no server is reachable: got %v and %+v, want it refused as not run before all were tried",
			outcome.Reason, got.refusals)
	}

	if most := max(minAbandonTimeout, abandonObjectives*500*time.Millisecond) + slow; outcome.Duration > most {
		t.Errorf("refused: got after %v, want within %v", outcome.Duration, most)
	}
}

// Guards against the end of a crashed server that is taken for the end of its answer, which has
// neither a length nor chunks.
func TestEndOfServerIsNotEndOfItsAnswer(t *testing.T) {
	f := newCrashFixture(t)
	f.respond = func(address string, n int, r *http.Request) string {
		f.crashed[address].Store(n == 1)

		whole := signedStream(r, 3, 4, false)
		if n == 1 {
			whole = strings.Replace(signedStream(r, 1, 2, false), "Content-Length", "Ignored", 1)
		}

		return whole
	}

	done := make(chan Outcome, 1)

	go func() {
		outcome, _ := f.call("talk", "r")
		done <- outcome
	}()

	for {
		select {
		case outcome := <-done:
			if outcome.Reason != Answered || outcome.Events != 4 || len(f.arrivals()) != 2 {
				t.Errorf("got %v with %d events of %d servers, want %v with 4 of 2", outcome.Reason, outcome.Events, len(f.arrivals()), Answered)
			}

			return
		default:
			f.runTerminationChecks()
		}
	}
}
