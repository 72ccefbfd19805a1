package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/register"
	"monsoonlever/scheduling"
)

// Guards against a request that reaches a server although a part of its prompt became held off while
// the request waited for a connection.
func TestPartHeldOffMeanwhileIsNotSent(t *testing.T) {
	s := newFixture(t, 10)
	s.Parts = &quarantine.Parts{}
	s.respond = func(_ string, _ int, r *http.Request) string { return signedStream(r, 1, 2, false) }
	s.onDial = func(string) {
		for i := range 4 {
			at := s.clock.Now().Add(time.Duration(i) * time.Second)
			s.Parts.RecordCrash(at, register.Process{ID: fleet.InstanceID(fmt.Sprint("i-", i))}, quarantine.PartKeys("llm", []string{"dead", "x"}))
		}
	}

	request := func(id string) *Request {
		return &Request{
			ID: id, Method: http.MethodPost, Host: "a.example", Target: "/talk/x", Path: "/talk/x", APIKey: "key", Arrived: s.clock.Now(),
			Body:   []byte(id),
			Prompt: scheduling.Prompt{Tokens: 100, Segments: []scheduling.Segment{{ID: "all", Tokens: 50}, {ID: "dead", Tokens: 40}, {ID: id, Tokens: 10}}},
		}
	}

	for _, id := range []string{"meanwhile", "later"} {
		sink := &recordingSink{}
		outcome := s.Serve(t.Context(), request(id), sink)

		if outcome.Reason != Quarantined || !outcome.NotRun || len(s.arrivals()) != 0 || sink.refusals[0].RetryAfter <= 0 {
			t.Errorf("%s: got %v, not run %v, %d arrivals, want %v, not run, none", id, outcome.Reason, outcome.NotRun, len(s.arrivals()), Quarantined)
		}
	}
}

// Guards against a part that crashes engines before they send a header, and so counts against nothing.
func TestCrashBeforeHeaderCountsAgainstParts(t *testing.T) {
	f := newCrashFixture(t)
	f.Parts = &quarantine.Parts{}
	f.respond = func(address string, _ int, _ *http.Request) string {
		f.crashed[address].Store(true)

		return ""
	}

	f.Serve(t.Context(), &Request{
		ID: "r", Method: http.MethodPost, Host: "a.example", Target: "/tell/x", Path: "/tell/x", APIKey: "key", Arrived: f.clock.Now(),
		Prompt: scheduling.Prompt{Tokens: 100, Segments: []scheduling.Segment{{ID: "all", Tokens: 50}, {ID: "dead", Tokens: 40}, {ID: "own", Tokens: 10}}},
	}, &recordingSink{})

	for limit := time.Now().Add(10 * time.Second); f.Parts.SuspectCount() < 2; f.runTerminationChecks() {
		if time.Now().After(limit) {
			t.Fatalf("suspected parts: got %d, want 2", f.Parts.SuspectCount())
		}
	}
}
