package scheduling

import (
	"testing"
	"time"

	"monsoonlever/register"
)

// Guards against brittleness that outlives its server or its announcement, and against responses
// that overtake each other.
func TestBrittlenessEndsWithItsAnnouncement(t *testing.T) {
	entry := register.Server{ID: "i-1", Incarnation: 1, Service: "llm", Address: "127.0.0.1:1"}
	now := time.Unix(1000, 0)
	s := &Scheduler{}
	s.Update([]register.Server{entry})

	attempt := func(at time.Time) *Assignment {
		a, err := s.Pick(at, Request{Service: "llm"})
		if err != nil || !a.Start(at) {
			t.Fatalf("pick: got %v, want the server", err)
		}

		return a
	}

	first, second := attempt(now), attempt(now.Add(time.Second))

	first.AnnouncedBrittle(0)

	if got, want := s.BrittleServers(), 0; got != want {
		t.Errorf("brittle servers at first: got %d, want %d", got, want)
	}

	second.AnnouncedBrittle(7)
	first.AnnouncedBrittle(0)

	if got, want := s.servers["i-1"].maxRejections(), 7; got != want {
		t.Errorf("after a late response to an earlier request: got %d, want %d", got, want)
	}

	entry.Incarnation = 2
	s.Update([]register.Server{entry})

	if got, want := s.BrittleServers(), 0; got != want {
		t.Errorf("brittle servers after its restart: got %d, want %d", got, want)
	}

	attempt(now.Add(2 * time.Second)).AnnouncedBrittle(7)
	attempt(now.Add(3 * time.Second)).AnnouncedBrittle(0)

	if got, want := s.BrittleServers(), 0; got != want {
		t.Errorf("brittle servers after a response without it: got %d, want %d", got, want)
	}
}

// Guards against instances that learn of a brittle server only by a request of their own.
func TestBrittlenessIsToldToOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	observer, relay, subscriber := poolOf(1), poolOf(1), poolOf(1)

	a, err := observer.Pick(now, Request{Service: "llm"})
	if err != nil || !a.Start(now) {
		t.Fatalf("pick: got %v, want the server", err)
	}

	a.AnnouncedBrittle(3)
	relay.ApplyUpdate(now, "observer", Subscriber, observer.TakeUpdate(now, Upstream))
	subscriber.ApplyUpdate(now, "relay", Relay, relay.TakeUpdate(now, Downstream))

	if got, want := subscriber.servers["s-0"].maxRejections(), 3; got != want {
		t.Errorf("known at another instance: got %d, want %d", got, want)
	}
}

// Guards against requests to a brittle server that no permit was granted for.
func TestBrittleServerNeedsPermits(t *testing.T) {
	permits := &scriptedPermits{}
	s := limitedEngines(1, permits)

	a, err := place(t, s, Request{Service: "llm"})
	if err != nil {
		t.Fatalf("place: got %v, want the server", err)
	}

	if got, want := len(permits.requested), 0; got != want {
		t.Errorf("permits for a server that is not brittle: got %d, want %d", got, want)
	}

	if !a.Start(time.Now()) {
		t.Fatal("start: got false, want true")
	}

	a.AnnouncedBrittle(3)

	if _, err := place(t, s, Request{Service: "llm"}); err != nil {
		t.Fatalf("place: got %v, want the server", err)
	}

	if got, want := len(permits.requested), 1; got != want {
		t.Errorf("permits for a brittle server: got %d, want %d", got, want)
	}
}

// Guards against servers that get requests without permits since they are back as another process, or
// are added, while their service is brittle.
func TestNewServerOfBrittleServiceNeedsPermits(t *testing.T) {
	permits := &scriptedPermits{}
	s := limitedEngines(1, permits)
	entries := []register.Server{*s.servers["i-0"].entry()}

	a, err := place(t, s, Request{Service: "llm"})
	if err != nil || !a.Start(time.Now()) {
		t.Fatalf("place: got %v, want the server", err)
	}

	a.AnnouncedBrittle(5)

	added, other := entries[0], entries[0]
	added.ID, other.ID, other.Service = "i-1", "api-1", "api"
	s.Update(append(entries, added, other))

	if got, want := s.servers["i-1"].maxRejections(), 5; got != want {
		t.Errorf("added server: got %d rejections, want %d", got, want)
	}

	if got, want := s.servers["api-1"].maxRejections(), 0; got != want {
		t.Errorf("server of another service: got %d rejections, want %d", got, want)
	}

	s.servers["i-1"].updateBrittle(brittleness{at: time.Now()})
	s.servers["i-0"].updateBrittle(brittleness{maxRejections: 3, at: time.Now().Add(time.Second)})

	if got, want := s.servers["i-1"].maxRejections(), 0; got != want {
		t.Errorf("added server after its first response without it: got %d rejections, want %d", got, want)
	}
}

// Guards against room at a brittle server that is lost with each permit of a request that is not sent.
func TestUnusedPermitIsGivenBack(t *testing.T) {
	permits := &scriptedPermits{level: 1}
	s := limitedEngines(1, permits)
	s.servers["i-0"].updateBrittle(brittleness{maxRejections: 3, at: time.Now()})

	for name, drop := range map[string]func(a *Assignment){
		"not started": (*Assignment).Release,
		"no longer accepted": func(a *Assignment) {
			a.server.announcements.leaving.Store(true)
			a.Start(time.Now())
			a.server.announcements.leaving.Store(false)
		},
		"sent": func(a *Assignment) { a.Start(time.Now()); a.End(time.Now(), Served) },
	} {
		a, err := place(t, s, Request{Service: "llm"})
		if err != nil {
			t.Fatalf("%s: got %v, want the server", name, err)
		}

		permits.reports = nil

		drop(a)

		if got, want := len(permits.reports), 1; got != want {
			t.Errorf("%s: got %d reports, want %d", name, got, want)
		}
	}
}
