package entry

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/ruleset"
	"monsoonlever/settings"
	"monsoonlever/topology"
)

// newMeshInstance returns a process of an instance that shares a full mesh with two others and has
// rules in force that nothing has confirmed yet.
func newMeshInstance(id fleet.InstanceID, clk clock.Clock) *components {
	p := (&Entry{Clock: clk, Settings: settings.Entry{
		Instance: id, FailureDomain: "a", Store: "127.0.0.1:1", Listen: settings.EntryListen{Peers: "127.0.0.1:7600"},
		Bounds: settings.Bounds{Revocation: 5 * time.Second, Drain: 2 * time.Second, LimitWindow: 8 * time.Second, UsageWindow: time.Second},
	}}).build()
	ids := []fleet.InstanceID{"entry-1", "entry-2", "entry-3"}

	p.rules.Store(&ruleset.Ruleset{})
	p.plan.Store(&topology.Plan{Relay: true, FullMesh: true, Leaders: ids, InstanceCount: len(ids)})
	p.limits.SetCoordinators(clk.Now(), ids)

	return p
}

// deliverHeartbeat sends one heartbeat from one instance to another.
func deliverHeartbeat(t *testing.T, from, to *components) {
	t.Helper()

	datagrams, err := from.makeHeartbeats(from.clock.Now())(to.self())
	if err != nil {
		t.Fatal(err)
	}

	for _, data := range datagrams {
		to.receiveDatagram(to.clock.Now(), netip.AddrPort{}, data)
	}
}

// Guards against keys that stay in use after they were revoked: a process that starts after the
// system time was set back takes the echo of its predecessor, which lies in its own future, for the
// time of its own message, so that rules count as current for too long.
func TestEchoOfEarlierProcessProvesNothing(t *testing.T) {
	const stepBack = 2400 * time.Millisecond

	restartedAt := time.Unix(1_790_000_000, 0)

	tests := []struct {
		desc string
		// uptime is how long the new process has run when the echo arrives.
		uptime time.Duration
	}{
		{desc: "echo in the future", uptime: 100 * time.Millisecond},
		{desc: "echo within the uptime of the new process", uptime: stepBack + time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			peer := newMeshInstance("entry-2", clock.NewManual(restartedAt))
			peer.rulesCurrency.Confirm(restartedAt)
			peer.registerCurrency.Confirm(restartedAt)

			before := newMeshInstance("entry-1", clock.NewManual(restartedAt.Add(stepBack)))
			deliverHeartbeat(t, before, peer)

			clk := clock.NewManual(restartedAt)
			after := newMeshInstance("entry-1", clk)

			clk.Advance(tt.uptime)
			deliverHeartbeat(t, peer, after)

			if age, confirmed := after.rulesCurrency.Age(); confirmed {
				t.Errorf("age of the rules: got %v, want no confirmation", age)
			}

			if age, confirmed := after.registerCurrency.Age(); confirmed {
				t.Errorf("age of the register: got %v, want no confirmation", age)
			}

			silent := after.limits.SilentCoordinators(clk.Now())
			if got, want := slices.Contains(silent, peer.self()), true; got != want {
				t.Errorf("coordinator has not acknowledged consumption: got %v, want %v", got, want)
			}

			deliverHeartbeat(t, after, peer)
			deliverHeartbeat(t, peer, after)

			if age, confirmed := after.rulesCurrency.Age(); !confirmed || age != 0 {
				t.Errorf("age of the rules after an echo of this process: got %v and %v, want 0 and true", age, confirmed)
			}

			if silent := after.limits.SilentCoordinators(clk.Now()); slices.Contains(silent, peer.self()) {
				t.Errorf("silent coordinators after an echo of this process: got %v, want none of %s", silent, peer.self())
			}
		})
	}
}
