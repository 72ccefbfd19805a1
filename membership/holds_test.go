package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

const (
	// settleBound is the time after the last fault within which all running nodes
	// must agree.
	settleBound = 120 * time.Second
	// leavingBound is the time within which all nodes must list a member as
	// leaving.
	leavingBound = 5 * time.Second
	// rateBound is the maximum rate at which a node may send, in bytes per second,
	// averaged over rateWindow.
	rateBound  = 8 << 10
	rateWindow = 10 * time.Second
)

// drawSimulation boots a few nodes in one or two regions and runs until they have
// joined.
func drawSimulation(t *rapid.T, maxNodes int) *simulation {
	m := newSimulation(rapid.Uint64().Draw(t, "seed"))
	size := rapid.IntRange(3, maxNodes).Draw(t, "nodes")
	regions := rapid.IntRange(1, 2).Draw(t, "regions")

	for i := range size {
		region := i * regions / size
		m.add(fleet.Region(fmt.Sprintf("r%d", region)), fleet.FailureDomain(fmt.Sprintf("r%d-%d", region, i%3)))
	}

	m.seeds = []string{m.nodes[0].identity.Address, m.nodes[size-1].identity.Address}
	for _, n := range m.nodes {
		m.boot(n)
	}

	if _, d := m.settle(settleBound); d != "" {
		t.Fatalf("nodes do not agree after joining: %s", d)
	}

	return m
}

// fault is a fault of a node or a link during an interval.
type fault struct {
	kind  faultKind
	node  int
	other int
	from  time.Duration
	until time.Duration
}

type faultKind int

const (
	faultCut faultKind = iota
	faultIsolation
	faultFreeze
	faultRestart
	faultCrash
	faultLeave
	faultKinds
)

func drawFaults(t *rapid.T, nodes int) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		from := time.Duration(rapid.IntRange(0, 60).Draw(t, "from")) * time.Second

		return fault{
			kind:  faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			node:  rapid.IntRange(0, nodes-1).Draw(t, "node"),
			other: rapid.IntRange(0, nodes-1).Draw(t, "other"),
			from:  from,
			until: from + time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds"))*time.Second,
		}
	}), 0, 8).Draw(t, "faults")
}

// runFaults simulates 101 s with the faults, which all end in that time, and then
// removes all cuts.
func (m *simulation) runFaults(faults []fault) {
	var cuts []fault

	m.blocked = func(from, to *simulatedNode) bool {
		for _, f := range cuts {
			if f.kind == faultIsolation && (m.nodes[f.node] == from || m.nodes[f.node] == to) {
				return true
			}

			if f.kind == faultCut && m.nodes[f.node] == from && m.nodes[f.other] == to {
				return true
			}
		}

		return false
	}

	for second := range 101 {
		cuts = cuts[:0]

		for _, f := range faults {
			m.apply(f, time.Duration(second)*time.Second)

			if cutInForce(f, time.Duration(second)*time.Second) {
				cuts = append(cuts, f)
			}
		}

		m.run(time.Second)
	}

	m.blocked = func(_, _ *simulatedNode) bool { return false }
}

func cutInForce(f fault, at time.Duration) bool {
	return f.from <= at && at < f.until && (f.kind == faultCut || f.kind == faultIsolation)
}

// apply starts or ends a fault that affects a process rather than a link.
func (m *simulation) apply(f fault, at time.Duration) {
	n := m.nodes[f.node]

	switch {
	case f.kind == faultFreeze && at == f.from && n.running:
		n.frozen = true
	case f.kind == faultFreeze && at == f.until:
		m.resume(n)
	case f.kind == faultRestart && at == f.from, f.kind == faultCrash && at == f.from:
		m.crash(n)
	case f.kind == faultRestart && at == f.until && !n.running:
		m.boot(n)
	case f.kind == faultLeave && at == f.from && n.running && !n.frozen:
		m.execute(n, n.core.Leave(m.now()))
	case f.kind == faultLeave && at == f.until && n.running && !n.frozen:
		m.execute(n, n.core.Depart(m.now()))
		m.crash(n)
	}
}

// discoverAllAddresses gives the running nodes the addresses of all instances,
// including terminated ones, as the platform's instance list does. Without it,
// nodes that have all restarted cannot find each other once every seed has crashed
// permanently.
func (m *simulation) discoverAllAddresses() {
	var addresses []string
	for _, n := range m.nodes {
		addresses = append(addresses, n.identity.Address)
	}

	for _, n := range m.running() {
		n.core.Discover(m.now(), addresses)
	}
}

// TestHoldsMembershipAgreesAfterFaults checks that, within settleBound after the
// faults end, all running nodes agree on the live members and on the state and
// payload of each. The nodes read the platform's instance list only after the
// faults.
func TestHoldsMembershipAgreesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawSimulation(t, 8)
		m.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		m.repeatRate = rapid.Float64Range(0, 0.2).Draw(t, "repeat")
		m.maxDelay = rapid.IntRange(1, 60).Draw(t, "delay")
		faults := drawFaults(t, len(m.nodes))

		for _, n := range m.nodes {
			step, err := n.core.SetPayload(m.now(), []byte(n.identity.ID+" payload"), Routine)
			if err != nil {
				t.Fatal(err)
			}

			m.execute(n, step)
		}

		m.runFaults(faults)
		m.lossRate = 0
		m.maxDelay = 2
		m.discoverAllAddresses()

		if _, d := m.settle(settleBound); d != "" {
			t.Fatalf("nodes do not agree after %v: %s", settleBound, d)
		}
	})
}

// TestHoldsMembershipNeverRevertsState checks that delayed and repeated messages
// never make a node return to an older incarnation, revision, status or payload of
// a member.
func TestHoldsMembershipNeverRevertsState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawSimulation(t, 6)
		m.lossRate = 0.1
		m.repeatRate = 0.3
		m.maxDelay = 100
		m.onChange = func(n *simulatedNode, c Change) {
			if c.Before() == nil || c.After() == nil {
				return
			}

			before, after := c.Before(), c.After()
			if before.version().newer(after.version()) {
				t.Fatalf("%s: state of %s went back from %+v to %+v", n.identity.ID, after.ID(), before.version(), after.version())
			}

			if before.Incarnation() == after.Incarnation() && before.payloadVersion > after.payloadVersion {
				t.Fatalf("%s: payload version of %s went back from %d to %d", n.identity.ID, after.ID(), before.payloadVersion, after.payloadVersion)
			}
		}

		m.runFaults(drawFaults(t, len(m.nodes)))
	})
}

// TestHoldsMembershipLeavingReachesAllNodes checks that the announcement of a
// leaving member reaches all other nodes within leavingBound over a lossy network.
func TestHoldsMembershipLeavingReachesAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawSimulation(t, 24)
		m.lossRate = rapid.Float64Range(0, 0.2).Draw(t, "loss")
		m.maxDelay = rapid.IntRange(1, 20).Draw(t, "delay")
		m.run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond)

		leaver := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "leaver")]
		m.execute(leaver, leaver.core.Leave(m.now()))
		m.run(leavingBound)

		for _, n := range m.nodes {
			if got, want := n.core.table.get(leaver.identity.ID).member.Phase(), Leaving; got != want {
				t.Fatalf("%s after %v: got %v, want %v", n.identity.ID, leavingBound, got, want)
			}
		}
	})
}

// TestHoldsMembershipPausedNodeCausesNoDeaths checks that a node that was paused
// for seconds or minutes causes no other node to be declared dead when it resumes.
func TestHoldsMembershipPausedNodeCausesNoDeaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawSimulation(t, 10)
		frozen := m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "frozen")]
		keep := rapid.Bool().Draw(t, "inbox is kept")
		m.onChange = func(n *simulatedNode, c Change) {
			if c.After() != nil && c.After().Status() == Dead && c.After().ID() != frozen.identity.ID {
				t.Fatalf("%s declared %s dead", n.identity.ID, c.After().ID())
			}
		}

		for range rapid.IntRange(1, 3).Draw(t, "times") {
			frozen.frozen = true
			m.run(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)

			if !keep {
				frozen.inbox = nil
			}

			m.resume(frozen)
			m.run(30 * time.Second)
		}

		if _, d := m.settle(settleBound); d != "" {
			t.Fatal(d)
		}
	})
}

// TestHoldsMembershipOneWayCutCausesNoDeaths checks that no member is declared
// dead while one direction of the link between two members is cut, since other
// members still reach both.
func TestHoldsMembershipOneWayCutCausesNoDeaths(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawSimulation(t, 10)
		from := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "from")
		to := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "to")
		m.blocked = func(a, b *simulatedNode) bool { return a == m.nodes[from] && b == m.nodes[to] }
		m.onChange = func(n *simulatedNode, c Change) {
			if c.After() != nil && c.After().Status() == Dead {
				t.Fatalf("%s declared %s dead", n.identity.ID, c.After().ID())
			}
		}

		m.run(5 * time.Minute)
	})
}

// TestHoldsMembershipLimitsMessageSizeAndRate checks that under faults no message
// exceeds its maximum size and no node exceeds rateBound over a window.
func TestHoldsMembershipLimitsMessageSizeAndRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawSimulation(t, 8)
		faults := drawFaults(t, len(m.nodes))
		before := make([]int64, len(m.nodes))
		until := m.now()
		m.onChange = func(*simulatedNode, Change) {
			if m.now().Before(until) {
				return
			}

			until = m.now().Add(rateWindow)

			for i, n := range m.nodes {
				if got := (n.sent - before[i]) / int64(rateWindow/time.Second); got > rateBound && before[i] > 0 {
					t.Fatalf("%s: got %d bytes a second, want at most %d", n.identity.ID, got, rateBound)
				}

				before[i] = n.sent
			}
		}

		m.runFaults(faults)

		for _, n := range m.nodes {
			if got, want := n.largestMessage, MaxMessage+bucketCount*digestSize+2*messageOverhead; got > want {
				t.Fatalf("%s: largest message: got %d bytes, want at most %d", n.identity.ID, got, want)
			}
		}
	})
}
