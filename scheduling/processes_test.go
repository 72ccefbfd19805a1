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

// A restarted server has no cached segments, backlog, failures or load of the process before, and
// is not leaving because that process was.
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

	update := s.TakeUpdate(now, Upstream)

	first.AnnouncedLeaving()
	s.Update([]register.Server{processEntry(900)})

	if !first.Leaving() {
		t.Error("attempt at the first process: got a server that is not leaving, want a leaving one")
	}

	// An update of another instance about the first process changes nothing either.
	s.ApplyUpdate(now, "entry-2", Peer, update)

	second := pick(t, s, r)
	srv := s.servers["i-1"]

	if second.uncachedTokens != 900 || second.backlog != 0 || srv.load(now) != 0 || srv.failureRate(now) != 0 {
		t.Errorf("second process: got %d uncached, backlog %d, load %v, failures %v, want 900 and nothing else",
			second.uncachedTokens, second.backlog, srv.load(now), srv.failureRate(now))
	}

	if !second.Start(now.Add(time.Second)) {
		t.Error("start at the second process: got false, want true")
	}
}

// An entry that changes slots or failure domain of the same process takes effect, and the state
// of the server is kept.
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
		t.Errorf("got %d slots in %s, want 2 in b", got.Slots, got.Domain)
	}

	if len(srv.segments) != 2 {
		t.Errorf("segments: got %d, want the 2 that the server has read", len(srv.segments))
	}
}

// Guards against a stream that is taken for one of the version which its server's entry names later:
// the version belongs to the process that was picked.
func TestAssignmentKeepsVersionOfItsProcess(t *testing.T) {
	s := &Scheduler{Domain: "a"}
	before := processEntry(0)
	before.Version = "v1"
	s.Update([]register.Server{before})

	a := pick(t, s, Request{Service: "llm"})
	a.Start(now)

	after := before
	after.Version = "v2"
	s.Update([]register.Server{after})

	if got, want := a.Version(), fleet.Version("v1"); got != want {
		t.Errorf("version: got %s, want %s", got, want)
	}

	if !a.Leaving() {
		t.Error("process before: got one that takes requests, want one that is gone")
	}
}
