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

// A request is placed while any server of a pool is eligible, whichever servers are sampled.
func TestRequestPlacedWhileAnyServerEligible(t *testing.T) {
	const servers = 200

	s := poolOf(servers)
	now := time.Unix(1000, 0)

	for target := range 50 {
		r := Request{Service: "llm", Prompt: Prompt{Tokens: 10, Segments: []Segment{{ID: fmt.Sprint("p", target), Tokens: 10}}}}

		for i := range servers {
			if i != target {
				r.Excluded = append(r.Excluded, fleet.InstanceID(fmt.Sprint("s-", i)))
			}
		}

		a, err := s.Pick(now, r)
		if err != nil {
			t.Fatalf("one of %d servers is eligible: got %v, want that server", servers, err)
		}

		if want := fleet.InstanceID(fmt.Sprint("s-", target)); a.ID() != want {
			t.Errorf("got %v, want %v", a.ID(), want)
		}
	}
}

// A server that was found to be terminated is avoided by all requests, on this instance and on
// those that receive its updates, until its entry should have been removed. It is tried if no
// other server is left.
func TestTerminatedServersAreAvoided(t *testing.T) {
	const servers = 60

	now := time.Unix(1000, 0)
	observer, relay, subscriber := poolOf(servers), poolOf(servers), poolOf(servers)

	for range servers - 1 {
		a, err := observer.Pick(now, Request{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}

		a.Start(now)
		a.End(now, Terminated)
	}

	relay.ApplyUpdate(now, "observer", Subscriber, observer.TakeUpdate(now, Upstream))
	subscriber.ApplyUpdate(now, "relay", Relay, relay.TakeUpdate(now, Downstream))

	picked := map[fleet.InstanceID]bool{}

	for name, s := range map[string]*Scheduler{"observer": observer, "relay": relay, "subscriber": subscriber} {
		for range 100 {
			a, err := s.Pick(now, Request{Service: "llm"})
			if err != nil {
				t.Fatalf("%s: got %v, want a server", name, err)
			}

			picked[a.ID()] = true
		}
	}

	if len(picked) != 1 {
		t.Errorf("picked: got %d servers, want only the one that was not terminated", len(picked))
	}

	for id := range picked {
		if _, err := subscriber.Pick(now, Request{Service: "llm", Excluded: []fleet.InstanceID{id}}); err != nil {
			t.Errorf("all others are terminated: got %v, want one of them picked", err)
		}
	}
}

// A termination is published once: a relay that receives it again forwards nothing.
func TestTerminationIsPublishedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	observer, relay := poolOf(3), poolOf(3)

	a, err := observer.Pick(now, Request{Service: "llm"})
	if err != nil {
		t.Fatal(err)
	}

	a.Start(now)
	a.End(now, Terminated)

	update := observer.TakeUpdate(now, Upstream)
	relay.ApplyUpdate(now, "observer", Peer, update)
	relay.ApplyUpdate(now, "observer", Peer, update)

	if got := relay.TakeUpdate(now, Upstream).Ended; len(got) != 0 {
		t.Errorf("termination from a peer, forwarded to relays: got %v, want none", got)
	}

	if got := relay.TakeUpdate(now, Downstream).Ended; len(got) != 1 {
		t.Errorf("forwarded: got %v, want one termination", got)
	}

	a.ReportTerminated(now.Add(time.Millisecond))
	relay.ApplyUpdate(now.Add(time.Millisecond), "observer", Peer, update)

	if got := relay.TakeUpdate(now, Downstream).Ended; len(got) != 0 {
		t.Errorf("forwarded again: got %v, want none", got)
	}
}
