package entry

import (
	"net/netip"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/directory"
	"monsoonlever/feed"
	"monsoonlever/fleet"
	"monsoonlever/settings"
	"monsoonlever/topology"
)

const testDrain = 3 * time.Second

// twoLeaders returns parts of an instance that leads many with another one, and that one.
func twoLeaders(t *testing.T, clk *clock.Manual) (*parts, topology.Member) {
	t.Helper()

	e := &Entry{Clock: clk, Settings: settings.Entry{
		Instance: "entry-1", FailureDomain: "a", Store: "127.0.0.1:1",
		Listen: settings.EntryListen{Peers: "127.0.0.1:7600"}, Limits: settings.Machine{ProcessorCores: 1},
		Bounds: settings.Bounds{
			Lease: time.Second, UsageWindow: time.Second, UsageLate: time.Second, RetryWindow: time.Second,
			LimitWindow: time.Second, Drain: testDrain, Stop: time.Second,
		},
	}}
	p := e.build()
	other := topology.Member{ID: "entry-2", Domain: "b", Address: netip.MustParseAddrPort("127.0.0.1:7602"), Cores: 1}
	relays := []topology.Member{p.links.Self, other}

	p.useDirectory(newDirectoryView(&directory.Directory{Relays: relays, Count: 20}, clk.Now(), feed.PositionOf(1, 1)))
	p.register.Replace(nil)

	return p, other
}

// receiveFrom has a leader tell how long ago it read another register than this instance knows.
func receiveFrom(p *parts, from topology.Member, registerAgo time.Duration) {
	now := p.clock.Now()
	p.receiveHeartbeat(now, from.Address, heartbeat{
		Instance: from.ID, Address: from.Address.String(), Domain: from.Domain, Cores: from.Cores,
		Relation: topology.BetweenRelays, Leaders: []fleet.InstanceID{p.self(), from.ID}, Members: 20,
		At: now.UnixNano(), Echo: now.UnixNano(), ConfirmedAgo: -1, Register: 1, RegisterAgo: registerAgo,
	})
	p.replan(now)
}

// Guards against requests at servers that left before the store fell silent for this leader alone.
func TestALeaderWithAnOldRegisterReadsFromAnotherLeader(t *testing.T) {
	tests := map[string]struct {
		// age is how old this instance's register is, and lag by how much the other's is newer.
		age, lag time.Duration
		want     bool
	}{
		"the other has read in its place":  {age: 2100 * time.Millisecond, lag: 2050 * time.Millisecond, want: true},
		"the other has read a round later": {age: 1300 * time.Millisecond, lag: 1250 * time.Millisecond},
		"neither has read":                 {age: 2100 * time.Millisecond},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clk := clock.NewManual(time.Unix(1000, 0))
			p, other := twoLeaders(t, clk)
			p.registered.Confirm(clk.Now().Add(-tt.age))
			receiveFrom(p, other, tt.age)

			if !p.leads() {
				t.Fatalf("leaders: got %v, want this instance among them", p.plan.Load().Leaders)
			}

			receiveFrom(p, other, tt.age-tt.lag)

			got := p.upstream()
			if reads := got.Address == other.Address; reads != tt.want || got.Origin == tt.want {
				t.Errorf("reads from: got %+v, want the other leader: %t", got, tt.want)
			}
		})
	}
}
