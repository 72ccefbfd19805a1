package scheduling

import (
	"errors"
	"testing"
	"time"

	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// Guards against requests to a server that announced that it leaves, after its register entry
// lapsed and came back as ready.
func TestAnnouncedLeaveOutlivesLapsedEntry(t *testing.T) {
	s := &Scheduler{Domain: "a"}
	s.Update([]register.Server{processEntry(500)})

	before := pick(t, s, Request{Service: "llm"})
	waiting := pick(t, s, Request{Service: "llm"})
	before.Start(now)
	before.AnnouncedLeaving()

	if waiting.Start(now) {
		t.Error("request that was picked before the leave: got it started, want it refused")
	}

	for _, step := range []struct {
		desc    string
		servers []register.Server
	}{
		{desc: "entry is ready", servers: []register.Server{processEntry(500)}},
		{desc: "entry lapsed"},
		{desc: "entry came back", servers: []register.Server{processEntry(500)}},
	} {
		s.Update(step.servers)

		if a, err := s.Pick(now, Request{Service: "llm"}); !errors.Is(err, ErrNoServer) {
			t.Errorf("%s: got %v, %v, want no server", step.desc, a, err)
		}
	}

	s.Update([]register.Server{processEntry(900)})
	pick(t, s, Request{Service: "llm"})
}

// Guards against losing the limit and the backoff of a server while its register entry lapses.
func TestLimitAndBackoffOutliveLapsedEntry(t *testing.T) {
	s := &Scheduler{Domain: "a"}
	s.Update([]register.Server{processEntry(500)})

	a := pick(t, s, Request{Service: "llm"})
	a.Start(now)
	a.AnnouncedLimit(now, 1.5)
	a.AnnouncedBackoff(now, 3*time.Second)
	a.End(now, Rejected)

	s.Update(nil)
	s.Update([]register.Server{processEntry(500)})

	srv := s.servers["i-1"]
	if got := srv.announcedLimit().Rate; got != 1.5 || !srv.announcements.inBackoff(now) {
		t.Errorf("after the entry came back: got limit %v and backoff %t, want 1.5 and true", got, srv.announcements.inBackoff(now))
	}

	s.Update([]register.Server{processEntry(900)})

	srv = s.servers["i-1"]
	if got := srv.announcedLimit().Rate; got != ratelimit.Unlimited || srv.announcements.inBackoff(now) {
		t.Errorf("new process: got limit %v and backoff %t, want neither", got, srv.announcements.inBackoff(now))
	}
}

// Guards against losing the announcements of a server when its entry names another address.
func TestBackoffOutlivesAddressChange(t *testing.T) {
	s := &Scheduler{Domain: "a"}
	s.Update([]register.Server{processEntry(500)})

	a := pick(t, s, Request{Service: "llm"})
	a.Start(now)
	a.AnnouncedBackoff(now, 3*time.Second)
	a.End(now, Rejected)

	moved := processEntry(500)
	moved.Address = "10.0.0.9:1"
	s.Update([]register.Server{moved})

	if got, err := s.Pick(now, Request{Service: "llm"}); !errors.Is(err, ErrNoServer) {
		t.Errorf("got %v, %v, want no server within the backoff", got, err)
	}
}

// Guards against a log line and a register change for each answer of a server that leaves.
func TestLeaveIsReportedOnce(t *testing.T) {
	var got []register.Process

	s := &Scheduler{Domain: "a", OnLeaving: func(process register.Process) { got = append(got, process) }}
	s.Update([]register.Server{processEntry(500)})

	first, second := pick(t, s, Request{Service: "llm"}), pick(t, s, Request{Service: "llm"})
	first.AnnouncedLeaving()
	second.AnnouncedLeaving()

	if len(got) != 1 || got[0] != processEntry(500).Process() {
		t.Errorf("OnLeaving calls: got %v, want the server once", got)
	}
}
