package scheduling

import (
	"slices"
	"testing"
	"time"

	"monsoonlever/fleet"
)

// relayTopology is two relays that exchange updates, and members with one relay each.
type relayTopology struct {
	relays  map[fleet.InstanceID]*Scheduler
	members map[fleet.InstanceID]*Scheduler
	// relayOf is the relay of each member.
	relayOf map[fleet.InstanceID]fleet.InstanceID
}

func newRelayTopology() *relayTopology {
	r := &relayTopology{
		relays: make(map[fleet.InstanceID]*Scheduler), members: make(map[fleet.InstanceID]*Scheduler),
		relayOf: map[fleet.InstanceID]fleet.InstanceID{"a-1": "relay-a", "a-2": "relay-a", "b-1": "relay-b"},
	}

	for member, relay := range r.relayOf {
		r.members[member], r.relays[relay] = engines(1, 64), engines(1, 64)
		r.relays[relay].SetRelay(true)
	}

	return r
}

// exchange sends all pending updates.
func (r *relayTopology) exchange(now time.Time) {
	for id, member := range r.members {
		r.relays[r.relayOf[id]].ApplyUpdate(now, id, Subscriber, member.TakeUpdate(now, Upstream))
	}

	for id, relay := range r.relays {
		update := relay.TakeUpdate(now, Upstream)

		for other, peer := range r.relays {
			if other != id {
				peer.ApplyUpdate(now, id, Peer, update)
			}
		}
	}

	for id, relay := range r.relays {
		update := relay.TakeUpdate(now, Downstream)

		for member, s := range r.members {
			if r.relayOf[member] == id {
				s.ApplyUpdate(now, id, Relay, update)
			}
		}
	}
}

// With backlogs summed by relays, each instance knows what all others have waiting and counts
// its own backlog once.
func TestRelayedBacklogsAreCountedOnce(t *testing.T) {
	r := newRelayTopology()
	all := []*Scheduler{r.members["a-1"], r.members["a-2"], r.members["b-1"], r.relays["relay-a"], r.relays["relay-b"]}
	assignments := make([]*Assignment, 0, len(all))
	sum := int64(0)

	for i, s := range all {
		a := pick(t, s, Request{Service: "llm", Prompt: Prompt{Tokens: 1000 << i}})
		a.Start(now)
		assignments = append(assignments, a)
		sum += 1000 << i
	}

	r.exchange(now)

	for i, s := range all {
		server := s.servers["i-0"]
		if got := server.pendingTokens.Load() + server.remotePending(now); got != sum {
			t.Errorf("instance %d: got %d tokens waiting, want %d", i, got, sum)
		}
	}

	for i, a := range assignments {
		a.FirstEventReceived(now)

		if i%2 == 0 {
			r.exchange(now)
		}
	}

	r.exchange(now)

	for i, s := range all {
		if got := s.servers["i-0"].remotePending(now); got != 0 {
			t.Errorf("instance %d after all were read: got %d tokens waiting, want none", i, got)
		}
	}
}

// Cached segments of a server reach all instances once, and are not published again for a while.
func TestCachedSegmentsArePublishedOnce(t *testing.T) {
	r := newRelayTopology()
	p := promptRequest("session")

	for range 3 {
		a := pick(t, r.members["a-1"], p)
		a.Start(now)
		a.FirstEventReceived(now)
		a.End(now, Served)
	}

	if got := len(r.members["a-1"].outboxes[Upstream].segments); got != 2 {
		t.Errorf("queued entries of cached segments: got %d, want one of the shared segments and one of all", got)
	}

	r.exchange(now)

	keys := p.Prompt.keys()

	for id, s := range r.members {
		if got := s.servers["i-0"].cachedTokens(now, keys, p.Prompt); got != p.Prompt.Tokens {
			t.Errorf("%s: got %d tokens cached, want %d", id, got, p.Prompt.Tokens)
		}
	}

	again := pick(t, r.members["b-1"], p)
	again.Start(now)
	again.FirstEventReceived(now)

	if got := r.members["b-1"].TakeUpdate(now, Upstream).Holdings; len(got) != 0 {
		t.Errorf("cached segments published again: got %v, want none", got)
	}
}

// A load that a server reported to one instance reaches all of them.
func TestLoadsReachAllInstancesThroughRelays(t *testing.T) {
	r := newRelayTopology()
	r.members["b-1"].RecordLoad(now, "i-0", Load{Running: 5, Waiting: 2})
	r.exchange(now)

	var got []float64
	for _, s := range []*Scheduler{r.members["a-1"], r.relays["relay-a"], r.relays["relay-b"]} {
		got = append(got, s.servers["i-0"].load(now))
	}

	if want := []float64{7, 7, 7}; !slices.Equal(got, want) {
		t.Errorf("loads: got %v, want %v", got, want)
	}
}
