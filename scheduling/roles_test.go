package scheduling

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// role is the role that an instance assumes: a relay, or a subscriber of its uplink.
type role struct {
	relay  bool
	uplink int
}

// instanceGroup is instances with arbitrary views of who is a relay, as after crashes and restarts.
type instanceGroup struct {
	now        time.Time
	schedulers []*Scheduler
	roles      []role
}

// sendUpdate sends an instance's backlog at the server to those that it takes for relays.
func (r *instanceGroup) sendUpdate(i int) {
	r.schedulers[i].SetRelay(r.roles[i].relay)
	update := r.schedulers[i].TakeUpdate(r.now, Upstream)

	for j, other := range r.schedulers {
		switch {
		case j == i:
		case r.roles[i].relay && r.roles[j].relay:
			other.ApplyUpdate(r.now, instanceID(i), Peer, update)
		case !r.roles[i].relay && r.roles[i].uplink == j:
			other.ApplyUpdate(r.now, instanceID(i), Subscriber, update)
		}
	}
}

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("entry-", i)) }

// Whatever roles instances assume, and however these change, the backlog that one of them counts
// for the others stays bounded: each sends its own backlog, and a relay adds those of its
// subscribers once. Rings of instances that take each other for relays accumulate nothing.
func TestHoldsBacklogsBoundedForAnyRoles(t *testing.T) {
	const prompt = 1000

	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "instances")
		r := &instanceGroup{now: time.Unix(1000, 0), roles: make([]role, n)}

		for range n {
			s := poolOf(1)

			a, err := s.Pick(r.now, Request{Service: "llm", Prompt: Prompt{Tokens: prompt}})
			if err != nil {
				t.Fatal(err)
			}

			a.Start(r.now)
			r.schedulers = append(r.schedulers, s)
		}

		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "instance")

			if rapid.IntRange(0, 5).Draw(t, "change") == 0 {
				to := (i + rapid.IntRange(1, n-1).Draw(t, "to")) % n
				r.roles[i] = role{relay: rapid.Bool().Draw(t, "relay"), uplink: to}
			}

			r.sendUpdate(i)

			for j, s := range r.schedulers {
				srv := s.servers["s-0"]
				if got, most := srv.remotePending(r.now), int64(n*n*prompt); got > most {
					t.Fatalf("at instance %d: got %d tokens, want at most %d for %d instances", j, got, most, n)
				}
			}
		}
	})
}

// Three instances that each have the next one as uplink send only their own backlogs.
func TestUplinkRingDoesNotAccumulateBacklogs(t *testing.T) {
	const prompt = 1000

	r := &instanceGroup{now: time.Unix(1000, 0), roles: []role{{uplink: 1}, {uplink: 2}, {uplink: 0}}}

	for range r.roles {
		s := poolOf(1)

		a, err := s.Pick(r.now, Request{Service: "llm", Prompt: Prompt{Tokens: prompt}})
		if err != nil {
			t.Fatal(err)
		}

		a.Start(r.now)
		r.schedulers = append(r.schedulers, s)
	}

	for step := range 30 {
		r.now = r.now.Add(20 * time.Millisecond)
		r.sendUpdate(step % len(r.roles))
	}

	for i, s := range r.schedulers {
		if got, want := s.servers["s-0"].remotePending(r.now), int64(prompt); got != want {
			t.Errorf("at instance %d: got %d tokens of other instances, want %d", i, got, want)
		}
	}
}
