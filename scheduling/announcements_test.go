package scheduling

import (
	"errors"
	"testing"
	"time"

	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// Guards against sends to a server that announced that it leaves, once its entry has lapsed
// and come back as ready.
func TestAnnouncedLeaveOutlivesLapsedEntry(t *testing.T) {
	s := &Scheduler{Domain: "a"}
	s.Update([]register.Server{processEntry(500)})

	before := pick(t, s, Request{Service: "llm"})
	waiting := pick(t, s, Request{Service: "llm"})
	before.Start(now)
	before.AnnouncedLeaving()

	if waiting.Start(now) {
		t.Error("a request that was placed before: got it started, want it placed anew")
	}

	for _, step := range []struct {
		desc    string
		servers []register.Server
	}{
		{desc: "its entry says ready", servers: []register.Server{processEntry(500)}},
		{desc: "its entry lapsed"},
		{desc: "its entry is back", servers: []register.Server{processEntry(500)}},
	} {
		s.Update(step.servers)

		if a, err := s.Pick(now, Request{Service: "llm"}); !errors.Is(err, ErrNoServer) {
			t.Errorf("%s: got %v, %v, want no server", step.desc, a, err)
		}
	}

	s.Update([]register.Server{processEntry(900)})
	pick(t, s, Request{Service: "llm"})
}

// Guards against a limit, and a backoff, that are forgotten while the entry of their server
// lapses.
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
		t.Errorf("another start: got limit %v and backoff %t, want neither", got, srv.announcements.inBackoff(now))
	}
}

// Guards against what a server announced being forgotten where its entry names another address.
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

// Guards against a log line and a change of the register for each answer of a server that leaves.
func TestLeaveIsReportedOnce(t *testing.T) {
	var got []register.Process

	s := &Scheduler{Domain: "a", OnLeaving: func(start register.Process) { got = append(got, start) }}
	s.Update([]register.Server{processEntry(500)})

	first, second := pick(t, s, Request{Service: "llm"}), pick(t, s, Request{Service: "llm"})
	first.AnnouncedLeaving()
	second.AnnouncedLeaving()

	if len(got) != 1 || got[0] != processEntry(500).Process() {
		t.Errorf("noted: got %v, want the server once", got)
	}
}
