package scheduling

import (
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// Checks that each loss of a path and its end are reported once.
func TestPathChangesAreReportedOnce(t *testing.T) {
	var changes []PathChange

	s := &Scheduler{OnPathChange: func(c PathChange) { changes = append(changes, c) }}
	s.Update([]register.Server{{ID: "i-1", Service: "llm", Address: "127.0.0.1:1"}})

	now := time.Unix(1000, 0)

	for _, result := range []Result{Unreachable, Terminated, Unreachable, Served, Rejected} {
		a, err := s.Pick(now, Request{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}

		a.Start(now)
		now = now.Add(time.Second)

		if result == Served {
			a.Connected(now)
		}

		a.End(now, result)
	}

	if got, want := len(changes), 2; got != want {
		t.Fatalf("changes: got %d, want %d", got, want)
	}

	if got, want := changes[0].Lost, true; got != want {
		t.Errorf("first change: got lost %v, want %v", got, want)
	}

	if got, want := changes[1].After, 3*time.Second; got != want {
		t.Errorf("path lost for: got %v, want %v", got, want)
	}
}

// Guards against servers that all instances avoid because one that lost its paths, and whose
// connections are refused, takes them for terminated.
func TestPartitionedInstanceDoesNotSteerOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	partitioned, other := poolOf(3), poolOf(3)

	hear := func(s *Scheduler) {
		for _, excludedIDs := range [][]fleet.InstanceID{{"s-1", "s-2"}, {"s-0", "s-2"}, {"s-0", "s-1"}} {
			a, err := s.Pick(now, Request{Service: "llm", Excluded: excludedIDs})
			if err != nil || !a.Start(now) {
				t.Fatalf("pick: got %v, want a server", err)
			}

			a.End(now, Served)
		}
	}

	hear(other)

	for range 3 {
		a, err := partitioned.Pick(now, Request{Service: "llm"})
		if err != nil || !a.Start(now) {
			t.Fatalf("pick: got %v, want a server", err)
		}

		a.End(now, Terminated)
	}

	update := partitioned.TakeUpdate(now, Upstream)
	other.ApplyUpdate(now.Add(10*time.Millisecond), "partitioned", Peer, update)

	for id, srv := range other.servers {
		if srv.isAvoided(now.Add(10 * time.Millisecond)) {
			t.Errorf("%s, heard of a moment ago: got it avoided, want it used", id)
		}
	}

	now = now.Add(time.Second)
	other.ApplyUpdate(now, "partitioned", Peer, update)

	now = now.Add(100 * time.Millisecond)
	hear(other)

	for id, srv := range other.servers {
		if srv.isAvoided(now) {
			t.Errorf("%s, heard of since: got it avoided, want it used", id)
		}
	}
}

// Guards against requests for which new connections are opened in vain because an open connection
// lives on.
func TestOpenConnectionShowsNoPath(t *testing.T) {
	now := time.Unix(1000, 0)
	s := poolOf(1)

	attempts := make([]*Assignment, 0, 2)

	for range 2 {
		a, err := s.Pick(now, Request{Service: "llm"})
		if err != nil || !a.Start(now) {
			t.Fatalf("pick: got %v, want the server", err)
		}

		attempts = append(attempts, a)
	}

	attempts[0].End(now.Add(time.Millisecond), Unreachable)
	now = now.Add(2 * time.Millisecond)
	attempts[1].Heard(now)
	attempts[1].End(now, Served)

	if got, want := attempts[1].PathLost(now), true; got != want {
		t.Errorf("path lost while an open connection lives on: got %v, want %v", got, want)
	}

	attempts[1].Connected(now)

	if got, want := attempts[1].PathLost(now), false; got != want {
		t.Errorf("path lost after a new connection: got %v, want %v", got, want)
	}
}
