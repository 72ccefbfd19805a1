package scheduling

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// role is what an instance takes itself for: a relay, or one that turned to another.
type role struct {
	relay  bool
	uplink int
}

// ring are instances that hold any views of who is a relay, as after losses and starts.
type instanceGroup struct {
	now        time.Time
	schedulers []*Scheduler
	roles      []role
}

// tell lets an instance tell those that it takes for relays what waits at the server.
func (r *instanceGroup) sendUpdate(i int) {
	r.schedulers[i].SetRelay(r.roles[i].relay)
	news := r.schedulers[i].TakeUpdate(r.now, Upstream)

	for j, other := range r.schedulers {
		switch {
		case j == i:
		case r.roles[i].relay && r.roles[j].relay:
			other.ApplyUpdate(r.now, instanceID(i), Peer, news)
		case !r.roles[i].relay && r.roles[i].uplink == j:
			other.ApplyUpdate(r.now, instanceID(i), Subscriber, news)
		}
	}
}

func instanceID(i int) fleet.InstanceID { return fleet.InstanceID(fmt.Sprint("entry-", i)) }

// Whatever instances take each other for, and however that changes, what one of them counts
// of the others stays bounded: each tells its own, and a relay that of those that turned to
// it once more. Rings of instances that take each other for relays let nothing grow.
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
					t.Fatalf("at instance %d: got %d tokens, want at most %d of %d instances", j, got, most, n)
				}
			}
		}
	})
}

// Three that each take the next for their relay tell their own alone.
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
			t.Errorf("at instance %d: got %d tokens of others, want %d", i, got, want)
		}
	}
}
