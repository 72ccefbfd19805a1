package scheduling

import (
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

func processEntry(incarnation fleet.Incarnation) register.Server {
	return register.Server{ID: "i-1", Incarnation: incarnation, Service: "llm", Address: "10.0.0.1:1", Domain: "a", Slots: 8}
}

// A server that started again holds no parts, has no backlog, no failures and no load of
// the start before, and does not leave because that one did.
func TestRestartedServerStartsWithoutState(t *testing.T) {
	s := &Scheduler{Domain: "a"}
	s.Update([]register.Server{processEntry(500)})

	r := Request{Service: "llm", Prompt: Prompt{Tokens: 900, Segments: []Segment{{ID: "p", Tokens: 600}, {ID: "q", Tokens: 300}}}}
	first := pick(t, s, r)
	first.Start(now)
	first.FirstEventReceived(now)
	s.RecordLoad(now, "i-1", Load{Running: 7})
	s.servers["i-1"].recordOutcome(now, true)
	s.ApplyUpdate(now, "entry-2", Peer, ServerUpdate{Backlogs: []Backlog{{Server: s.servers["i-1"].key, Tokens: 9000}}})

	news := s.TakeUpdate(now, Upstream)

	first.AnnouncedLeaving()
	s.Update([]register.Server{processEntry(900)})

	if !first.Leaving() {
		t.Error("an attempt at the first start: got a server that stays, want one that leaves")
	}

	// What others tell of the first start changes nothing either.
	s.ApplyUpdate(now, "entry-2", Peer, news)

	second := pick(t, s, r)
	srv := s.servers["i-1"]

	if second.uncachedTokens != 900 || second.backlog != 0 || srv.load(now) != 0 || srv.failureRate(now) != 0 {
		t.Errorf("second start: got %d unread, backlog %d, load %v, failures %v, want 900 and nothing else",
			second.uncachedTokens, second.backlog, srv.load(now), srv.failureRate(now))
	}

	if !second.Start(now.Add(time.Second)) {
		t.Error("start at the second: got false, want true")
	}
}

// An entry that changes places or failure domain of the same start is in force, and what
// was learnt stays.
func TestNewEntryOfSameProcessKeepsState(t *testing.T) {
	s := &Scheduler{Domain: "a"}
	s.Update([]register.Server{processEntry(500)})

	a := pick(t, s, Request{Service: "llm", Prompt: Prompt{Tokens: 100, Segments: []Segment{{ID: "p", Tokens: 60}, {ID: "q", Tokens: 40}}}})
	a.Start(now)
	a.FirstEventReceived(now)

	changed := processEntry(500)
	changed.Slots, changed.Domain = 2, "b"
	s.Update([]register.Server{changed})

	srv := s.servers["i-1"]
	if got := srv.entry(); got.Slots != 2 || got.Domain != "b" {
		t.Errorf("got %d places in %s, want 2 in b", got.Slots, got.Domain)
	}

	if len(srv.segments) != 2 {
		t.Errorf("parts: got %d, want the 2 that it has read", len(srv.segments))
	}
}
