package scheduling

import (
	"fmt"
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// poolOf returns a scheduler with n servers of one service.
func poolOf(n int) *Scheduler {
	servers := make([]register.Server, 0, n)
	for i := range n {
		servers = append(servers, register.Server{ID: fleet.InstanceID(fmt.Sprint("s-", i)), Service: "llm", Slots: 8})
	}

	s := &Scheduler{}
	s.Update(servers)

	return s
}

// While any server of a pool fits, a request is placed, whatever is drawn.
func TestARequestIsPlacedWhileAnyServerFits(t *testing.T) {
	const servers = 200

	s := poolOf(servers)
	now := time.Unix(1000, 0)

	for try := range 50 {
		r := Request{Service: "llm", Prompt: Prompt{Tokens: 10, Segments: []Segment{{ID: fmt.Sprint("p", try), Tokens: 10}}}}

		for i := range servers {
			if i != try {
				r.Excluded = append(r.Excluded, fleet.InstanceID(fmt.Sprint("s-", i)))
			}
		}

		a, err := s.Pick(now, r)
		if err != nil {
			t.Fatalf("one of %d servers fits: got %v, want it", servers, err)
		}

		if want := fleet.InstanceID(fmt.Sprint("s-", try)); a.ID() != want {
			t.Errorf("got %v, want %v", a.ID(), want)
		}
	}
}

// A server that was found to have ended is passed over by every attempt, here and at
// those that are told, until its entry should be gone. Where no other is left it is tried.
func TestServersThatEndedArePassedOver(t *testing.T) {
	const servers = 60

	now := time.Unix(1000, 0)
	seer, relay, told := poolOf(servers), poolOf(servers), poolOf(servers)

	for range servers - 1 {
		a, err := seer.Pick(now, Request{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}

		a.Start(now)
		a.End(now, Terminated)
	}

	relay.ApplyUpdate(now, "seer", Subscriber, seer.TakeUpdate(now, Upstream))
	told.ApplyUpdate(now, "relay", Relay, relay.TakeUpdate(now, Downstream))

	left := map[fleet.InstanceID]bool{}

	for name, s := range map[string]*Scheduler{"one that found it": seer, "relay": relay, "one that is told": told} {
		for range 100 {
			a, err := s.Pick(now, Request{Service: "llm"})
			if err != nil {
				t.Fatalf("%s: got %v, want a server", name, err)
			}

			left[a.ID()] = true
		}
	}

	if len(left) != 1 {
		t.Errorf("picked: got %d servers, want the one that is left", len(left))
	}

	for id := range left {
		if _, err := told.Pick(now, Request{Service: "llm", Excluded: []fleet.InstanceID{id}}); err != nil {
			t.Errorf("all others have ended: got %v, want one tried", err)
		}
	}
}

// What was told once is not told again and again: a relay that hears it anew passes on
// nothing.
func TestAnEndIsToldOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	seer, relay := poolOf(3), poolOf(3)

	a, err := seer.Pick(now, Request{Service: "llm"})
	if err != nil {
		t.Fatal(err)
	}

	a.Start(now)
	a.End(now, Terminated)

	news := seer.TakeUpdate(now, Upstream)
	relay.ApplyUpdate(now, "seer", Peer, news)
	relay.ApplyUpdate(now, "seer", Peer, news)

	if got := relay.TakeUpdate(now, Upstream).Ended; len(got) != 0 {
		t.Errorf("a peer's news passed on to relays: got %v, want none", got)
	}

	if got := relay.TakeUpdate(now, Downstream).Ended; len(got) != 1 {
		t.Errorf("passed on: got %v, want one end", got)
	}

	a.ReportTerminated(now.Add(time.Millisecond))
	relay.ApplyUpdate(now.Add(time.Millisecond), "seer", Peer, news)

	if got := relay.TakeUpdate(now, Downstream).Ended; len(got) != 0 {
		t.Errorf("passed on again: got %v, want none", got)
	}
}
