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

// A machine may sleep, or the store be away, while a connection is being made. Rules
// that grew too old meanwhile allow nothing.
func TestSendIsBlockedByStaleRules(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.onDial = func(string) { s.clock.Advance(rulesMaxAge + time.Millisecond) }

	outcome, got := s.call("once", "r-1")

	if len(s.arrivals()) != 0 {
		t.Errorf("arrivals: got %v, want none", s.arrivals())
	}

	if outcome.Reason != StaleRules || !outcome.NotRun || len(got.refusals) != 1 || got.refusals[0].RetryAfter <= 0 {
		t.Errorf("outcome: got %+v and %+v, want one refusal as stale, not run, with when to come back", outcome, got)
	}
}

func TestSendIsBlockedByRevokedKey(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.onDial = func(string) { s.rules.Store(rulesWith(t, 2, "other")) }

	outcome, _ := s.call("once", "r-1")

	if len(s.arrivals()) != 0 || outcome.Reason != StaleRules || !outcome.NotRun {
		t.Errorf("got %v and %+v, want no arrival and a refusal that says not run", s.arrivals(), outcome)
	}
}

// Newer rules that leave the key alone change nothing for a request that waits.
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
		t.Errorf("got %+v and arrivals %v, want one at the server that does not leave, %s does", outcome, seen, first)
	}
}

// Servers that all fail must not be sent twice the load.
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
		{"an unsafe call whose answer is lost", "once", func(*http.Request) string { return cut }, 1, ResponseLost, false},
		{"an unsafe call that a server did not run", "once", func(r *http.Request) string {
			return signedResponse(r, http.StatusServiceUnavailable, notRunHeader+": yes\r\n")
		}, 2, Overloaded, true},
		{"a safe call whose answer is lost", "safe", func(*http.Request) string { return cut }, 2, ResponseLost, false},
		{"a stream that may not be resumed and is lost", "tell", func(*http.Request) string { return cut }, 1, ResponseLost, false},
		{"a stream that may not be resumed and is cut", "tell", func(r *http.Request) string {
			return signedStream(r, 1, 2, true)
		}, 1, StreamBroken, false},
		{"an answer that nobody signed", "once", func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + idHeader + ": " + r.Header.Get(idHeader) + "\r\nContent-Length: 0\r\n\r\n"
		}, 1, ResponseLost, false},
		{"an answer to another request", "once", func(*http.Request) string {
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

// A stream goes on at another server after the last whole event, each event once.
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
		t.Fatalf("got %+v and arrivals %v, want a second server asked for what follows event 2", outcome, seen)
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
		t.Errorf("begun for usage: got %d, want 1", began)
	}
}

// An event that repeats or skips what the caller has breaks the stream off.
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
			t.Errorf("a server that %s: got %v with %d events, want it broken off after 2", name, outcome.Reason, len(got.events))
		}
	}
}

// A prompt that is held back until its server has room is judged by the rules of then.
func TestQueuedPromptIsRecheckedAgainstNewRules(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 1, false) }
	// The prompt could begin after 1.5 s: too late for its objective of 0.5 s, and before
	// its caller leaves after 2 s.
	waiting := s.overloadEngines(60_000)

	done := make(chan Outcome)

	go func() {
		outcome, _ := s.call("talk", "r-1")
		done <- outcome
	}()

	select {
	case outcome := <-done:
		t.Fatalf("outcome: got %+v, want the prompt to be held", outcome)
	case <-time.After(50 * time.Millisecond):
	}

	s.rules.Store(rulesWith(t, 2, "other"))

	for _, a := range waiting {
		a.End(s.clock.Now(), scheduling.Cancelled)
	}

	outcome := s.awaitOutcome(done)
	if outcome.Queued <= 0 {
		t.Errorf("held: got %v, want some time", outcome.Queued)
	}

	if outcome.Reason != StaleRules || !outcome.NotRun || len(s.arrivals()) != 0 {
		t.Errorf("got %+v and arrivals %v, want a refusal that says not run", outcome, s.arrivals())
	}
}

// awaitOutcome moves the clock on in small steps until a request has ended.
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

// overloadEngines gives each engine some tokens to read, at 40,000 a second.
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

// What can't begin before its caller leaves is refused at once, with when to come back.
func TestPromptThatStartsTooLateIsRefused(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.overloadEngines(400_000)

	outcome, got := s.call("talk", "r-1")

	if outcome.Reason != Overloaded || !outcome.NotRun || len(s.arrivals()) != 0 || len(got.refusals) != 1 {
		t.Fatalf("got %+v, %d arrivals and %d final answers, want one refusal that says not run", outcome, len(s.arrivals()),
			len(got.refusals))
	}

	// Ten seconds of work wait: half of it to all and a half of it.
	if after := got.refusals[0].RetryAfter; after < 5*time.Second || after > 15*time.Second {
		t.Errorf("when to come back: got %v, want 5 s to 15 s", after)
	}
}

// A caller that is gone gets no further server.
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
		t.Errorf("got %+v and %d arrivals, want the caller gone after 1", outcome, len(s.arrivals()))
	}
}

// A request that nothing can come of costs no backend server a connection.
func TestStaleRulesPreventDial(t *testing.T) {
	s := newFixture(t, 10)
	s.respond = respondOK
	s.onDial = func(address string) { t.Errorf("connection to %s: got one, want none", address) }
	s.clock.Advance(rulesMaxAge + time.Millisecond)

	if outcome, _ := s.call("once", "r-1"); outcome.Reason != StaleRules || !outcome.NotRun {
		t.Errorf("outcome: got %+v, want a refusal as stale that says not run", outcome)
	}
}

// A server that lost an answer is not asked again, although the other one took no
// connection a moment ago.
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
		t.Errorf("got %+v and arrivals %v, want it answered by another server", outcome, seen)
	}
}
