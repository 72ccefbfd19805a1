package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/scheduling"
)

func respondOK(_ string, _ int, r *http.Request) string { return signedResponse(r, http.StatusOK) }

// Guards against a send under rules that became stale while the connection was dialled, as
// when the machine sleeps or the store is unreachable.
func TestSendIsBlockedByStaleRules(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.onDial = func(string) { s.clock.Advance(rulesMaxAge + time.Millisecond) }

	outcome, got := s.call("once", "r-1")

	if len(s.arrivals()) != 0 {
		t.Errorf("arrivals: got %v, want none", s.arrivals())
	}

	if outcome.Reason != StaleRules || !outcome.NotRun || len(got.refusals) != 1 || got.refusals[0].RetryAfter <= 0 {
		t.Errorf("outcome: got %+v and %+v, want one refusal StaleRules, not run, with a Retry-After", outcome, got)
	}
}

func TestSendIsBlockedByRevokedKey(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.onDial = func(string) { s.rules.Store(rulesWith(t, 2, "other")) }

	outcome, _ := s.call("once", "r-1")

	if len(s.arrivals()) != 0 || outcome.Reason != StaleRules || !outcome.NotRun {
		t.Errorf("got %v and %+v, want no arrival and a refusal StaleRules, not run", s.arrivals(), outcome)
	}
}

// Guards against refusing a waiting request because newer rules were published that still
// allow it.
func TestSendSucceedsUnderNewRulesWithSameKey(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.onDial = func(string) { s.rules.Store(rulesWith(t, 2, "key")) }

	if outcome, got := s.call("once", "r-1"); outcome.Reason != Answered || got.status != http.StatusOK {
		t.Errorf("outcome: got %+v with status %d, want it answered", outcome, got.status)
	}
}

func TestSendSkipsServerThatStartsLeaving(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK

	first := ""
	s.onDial = func(address string) {
		if first == "" {
			first = address
			s.announceLeaving("api", address)
		}
	}

	outcome, _ := s.call("once", "r-1")
	seen := s.arrivals()

	if outcome.Reason != Answered || len(seen) != 1 || seen[0].address == first {
		t.Errorf("got %+v and arrivals %v, want one at the server that does not leave; %s leaves", outcome, seen, first)
	}
}

// Guards against retries that double the load of a service whose servers all fail.
func TestRetriesStayWithinBudget(t *testing.T) {
	const requests, budget = 20, 3

	s := newFixture(t, budget)
	s.respond = func(_ string, _ int, r *http.Request) string {
		return signedResponse(r, http.StatusInternalServerError)
	}

	for i := range requests {
		s.call("safe", fmt.Sprint("r-", i))
	}

	if got, want := len(s.arrivals()), requests+budget; got != want {
		t.Errorf("arrivals of %d requests: got %d, want %d", requests, got, want)
	}
}

func TestRetryRequiresIdempotentOrUnprocessedRequest(t *testing.T) {
	const cut = ""

	tests := []struct {
		name, route string
		answer      func(r *http.Request) string
		arrivals    int
		reason      Reason
		notRun      bool
	}{
		{"an unsafe call whose response is lost", "once", func(*http.Request) string { return cut }, 1, ResponseLost, false},
		{"an unsafe call that a server did not run", "once", func(r *http.Request) string {
			return signedResponse(r, http.StatusServiceUnavailable, notRunHeader+": yes\r\n")
		}, 2, Overloaded, true},
		{"a safe call whose response is lost", "safe", func(*http.Request) string { return cut }, 2, ResponseLost, false},
		{"a stream that is not resumable and is lost", "tell", func(*http.Request) string { return cut }, 1, ResponseLost, false},
		{"a stream that is not resumable and is cut", "tell", func(r *http.Request) string {
			return signedStream(r, 1, 2, true)
		}, 1, StreamBroken, false},
		{"a response without a signature", "once", func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + r.Header.Get(idHeader) + "\r\nContent-Length: 0\r\n\r\n"
		}, 1, ResponseLost, false},
		{"a response to another request", "once", func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\n" + signHeader +
				": yes\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
		}, 1, ResponseLost, false},
	}

	for _, test := range tests {
		s := newFixture(t, 10)
		s.respond = func(_ string, _ int, r *http.Request) string {
			return test.answer(r)
		}

		outcome, got := s.call(test.route, "r-1")

		if n := len(s.arrivals()); n != test.arrivals {
			t.Errorf("%s: got %d arrivals, want %d", test.name, n, test.arrivals)
		}

		if outcome.Reason != test.reason || outcome.NotRun != test.notRun || len(got.refusals) != 1 {
			t.Errorf("%s: got %v, not run %v, %d final answers, want %v, %v, 1", test.name, outcome.Reason, outcome.NotRun,
				len(got.refusals), test.reason, test.notRun)
		}
	}
}

// Guards against lost or repeated events when a stream is resumed at another server.
func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = func(_ string, n int, r *http.Request) string {
		if n == 1 {
			return signedStream(r, 1, 2, true)
		}

		return signedStream(r, 3, 4, false)
	}

	outcome, got := s.call("talk", "r-1")
	seen := s.arrivals()

	if outcome.Reason != Answered || len(seen) != 2 || seen[1].resume != "2" || seen[0].address == seen[1].address {
		t.Fatalf("got %+v and arrivals %v, want the stream resumed after event 2 at a second server", outcome, seen)
	}

	for i, event := range got.events {
		if want := fmt.Sprintf("id: %d\ndata: x\n\n", i+1); event != want {
			t.Errorf("event %d: got %q, want %q", i+1, event, want)
		}
	}

	if len(got.events) != 4 || got.begun != 1 {
		t.Errorf("caller: got %d events under %d headers, want 4 under 1", len(got.events), got.begun)
	}

	if began := s.usage.began.Load(); began != 1 {
		t.Errorf("requests counted in the usage: got %d, want 1", began)
	}
}

// Guards against passing on a resumed stream that repeats or skips events.
func TestResumedStreamWithGapOrRepeatIsAborted(t *testing.T) {
	for name, from := range map[string]int{"repeats": 2, "skips": 4} {
		s := newFixture(t, 10)
		s.respond = func(_ string, n int, r *http.Request) string {
			if n == 1 {
				return signedStream(r, 1, 2, true)
			}

			return signedStream(r, from, from+1, false)
		}

		outcome, got := s.call("talk", "r-1")
		if outcome.Reason != StreamBroken || len(got.events) != 2 || len(got.refusals) != 1 {
			t.Errorf("a server that %s: got %v with %d events, want it aborted after 2", name, outcome.Reason, len(got.events))
		}
	}
}

// Guards against sending a prompt that was queued for a busy server under rules that changed
// meanwhile.
func TestQueuedPromptIsRecheckedAgainstNewRules(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 1, false) }
	// The prompt could start after 1.5 s: too late for its objective of 0.5 s, but before its
	// caller abandons it after 2 s.
	waiting := s.overloadEngines(60_000)

	done := make(chan Outcome)

	go func() {
		outcome, _ := s.call("talk", "r-1")
		done <- outcome
	}()

	select {
	case outcome := <-done:
		t.Fatalf("outcome: got %+v, want the prompt to be queued", outcome)
	case <-time.After(50 * time.Millisecond):
	}

	s.rules.Store(rulesWith(t, 2, "other"))

	for _, a := range waiting {
		a.End(s.clock.Now(), scheduling.Cancelled)
	}

	outcome := s.awaitOutcome(done)
	if outcome.Queued <= 0 {
		t.Errorf("queued: got %v, want more than 0", outcome.Queued)
	}

	if outcome.Reason != StaleRules || !outcome.NotRun || len(s.arrivals()) != 0 {
		t.Errorf("got %+v and arrivals %v, want no arrival and a refusal StaleRules, not run", outcome, s.arrivals())
	}
}

// awaitOutcome advances the clock in small steps until a request has ended.
func (s *fixture) awaitOutcome(done <-chan Outcome) Outcome {
	for {
		select {
		case outcome := <-done:
			return outcome
		case <-time.After(time.Millisecond):
			s.clock.Advance(5 * time.Millisecond)
		}
	}
}

// overloadEngines assigns each engine a prompt of the given number of tokens, after its rate
// was measured as 40,000 tokens per second.
func (s *fixture) overloadEngines(tokens int) []*scheduling.Assignment {
	s.t.Helper()

	rates := scheduling.Request{Service: "llm", Prompt: scheduling.Prompt{Tokens: 40_000}}

	for range 8 {
		a, err := s.Scheduler.Pick(s.clock.Now(), rates)
		if err != nil || !a.Start(s.clock.Now()) {
			s.t.Fatalf("pick: got %v, want a server", err)
		}

		s.clock.Advance(time.Second)
		a.FirstEventReceived(s.clock.Now())
		a.End(s.clock.Now(), scheduling.Served)
	}

	s.Currency.Confirm(s.clock.Now())

	var waiting []*scheduling.Assignment

	for range 2 {
		a, _ := s.Scheduler.Pick(s.clock.Now(), scheduling.Request{Service: "llm", Prompt: scheduling.Prompt{Tokens: tokens}})
		a.Start(s.clock.Now())

		waiting = append(waiting, a)
	}

	return waiting
}

// Guards against queueing a prompt that can not start before its caller abandons it, instead
// of refusing it immediately.
func TestPromptThatStartsTooLateIsRefused(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.overloadEngines(400_000)

	outcome, got := s.call("talk", "r-1")

	if outcome.Reason != Overloaded || !outcome.NotRun || len(s.arrivals()) != 0 || len(got.refusals) != 1 {
		t.Fatalf("got %+v, %d arrivals and %d final answers, want one refusal Overloaded, not run", outcome, len(s.arrivals()),
			len(got.refusals))
	}

	// Ten seconds of work are queued: the Retry-After is 0.5 to 1.5 times that.
	if after := got.refusals[0].RetryAfter; after < 5*time.Second || after > 15*time.Second {
		t.Errorf("Retry-After: got %v, want 5 s to 15 s", after)
	}
}

// Guards against a retry for a caller that has disconnected.
func TestDisconnectedCallerIsNotRetried(t *testing.T) {
	s := newFixture(t, 10)
	ctx, leave := context.WithCancel(t.Context())
	s.respond = func(string, int, *http.Request) string {
		leave()

		return ""
	}

	outcome := s.Serve(ctx, &Request{
		ID: "r-1", Method: http.MethodGet, Host: "a.example", Target: "/safe/x", Path: "/safe/x", APIKey: "key",
		Arrived: s.clock.Now(),
	}, &recordingSink{})

	if outcome.Reason != CallerGone || len(s.arrivals()) != 1 {
		t.Errorf("got %+v and %d arrivals, want CallerGone after 1", outcome, len(s.arrivals()))
	}
}

// Guards against dialling a server for a request that stale rules refuse anyway.
func TestStaleRulesPreventDial(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.onDial = func(address string) { t.Errorf("connection to %s: got one, want none", address) }
	s.clock.Advance(rulesMaxAge + time.Millisecond)

	if outcome, _ := s.call("once", "r-1"); outcome.Reason != StaleRules || !outcome.NotRun {
		t.Errorf("outcome: got %+v, want a refusal StaleRules, not run", outcome)
	}
}

// Guards against a retry at the server that lost the response, picked because the other server
// was unreachable a moment ago.
func TestRetryGoesToAnotherServer(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = func(_ string, n int, r *http.Request) string {
		if n == 1 {
			return ""
		}

		return signedResponse(r, http.StatusOK)
	}

	a, err := s.Scheduler.Pick(s.clock.Now(), scheduling.Request{Service: "api", Excluded: []fleet.InstanceID{"api-1"}})
	if err != nil || !a.Start(s.clock.Now()) {
		t.Fatalf("pick: got %v, want a server", err)
	}

	a.End(s.clock.Now(), scheduling.Unreachable)

	outcome, _ := s.call("safe", "r-1")
	if seen := s.arrivals(); outcome.Reason != Answered || len(seen) != 2 || seen[0].address == seen[1].address {
		t.Errorf("got %+v and arrivals %v, want it answered by the other server", outcome, seen)
	}
}
