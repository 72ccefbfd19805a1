package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/provider"
)

// tick is the step of real time in the simulated deployment.
const tick = 50 * time.Millisecond

// node is a process with a clock that runs at its own rate.
type node struct {
	core        *lease.Core
	self        lease.Holder
	rate        float64
	offset      time.Duration
	readCount   int
	pausedTicks int
	// lagRecords is how many of the newest records the node does not read.
	lagRecords int
}

func (n *node) now(elapsed time.Duration) time.Time {
	return start.Add(n.offset + time.Duration(float64(elapsed)*n.rate))
}

type logEntry struct {
	offset provider.Offset
	record lease.Record
}

type delayedAppend struct {
	record    lease.Record
	arrivesAt time.Duration
}

// deployment simulates a log and several nodes whose appends may be lost, delayed, reordered
// and duplicated.
type deployment struct {
	t            *rapid.T
	config       lease.Config
	elapsed      time.Duration
	nodes        []*node
	log          []logEntry
	delayed      []delayedAppend
	logDown      bool
	highestFence lease.Fence
}

func newDeployment(t *rapid.T) *deployment {
	d := &deployment{t: t}
	// MaxOrderDelay and Stagger stay 0, since they would hide a wait that is too short.
	d.config = lease.Config{
		Term:          2 * time.Second,
		RenewInterval: 500 * time.Millisecond,
		MaxDrift:      0.05,
		MaxReadGap:    time.Second,
	}

	for i := range rapid.IntRange(2, 4).Draw(t, "nodes") {
		n := &node{
			self:   lease.Holder{Instance: fleet.InstanceID(rune('a' + i)), Incarnation: 1},
			rate:   rapid.SampledFrom([]float64{1 - d.config.MaxDrift, 1, 1 + d.config.MaxDrift}).Draw(t, "rate"),
			offset: time.Duration(rapid.IntRange(0, 3600).Draw(t, "offset")) * time.Second,
		}
		d.nodes = append(d.nodes, n)
		d.startProcess(n)
	}

	return d
}

func (d *deployment) startProcess(n *node) {
	core, err := lease.NewCore(d.config, role, n.self)
	if err != nil {
		d.t.Fatal(err)
	}

	n.core = core
	n.readCount = 0
}

func (d *deployment) step() {
	d.elapsed += tick
	d.deliverDelayed()
	d.injectFault()

	for _, n := range d.nodes {
		d.runNode(n)
	}

	d.checkExclusive()
}

func (d *deployment) deliverDelayed() {
	remaining := d.delayed[:0]

	for _, f := range d.delayed {
		if f.arrivesAt > d.elapsed || d.logDown {
			remaining = append(remaining, f)

			continue
		}

		d.log = append(d.log, logEntry{offset: provider.Offset(len(d.log) + 1), record: f.record})
	}

	d.delayed = remaining
}

func (d *deployment) injectFault() {
	n := d.nodes[rapid.IntRange(0, len(d.nodes)-1).Draw(d.t, "node")]

	switch rapid.IntRange(0, 79).Draw(d.t, "fault") {
	case 0, 1, 2:
		n.pausedTicks = rapid.IntRange(1, 80).Draw(d.t, "pause")
	case 3, 4, 5:
		n.lagRecords = rapid.IntRange(0, 3).Draw(d.t, "lag")
	case 6:
		n.self.Incarnation++
		d.startProcess(n)
	case 7:
		d.logDown = !d.logDown
	case 8:
		for _, c := range n.core.Release(n.now(d.elapsed)) {
			d.appendUnreliably(c.Record)
		}
	case 9, 10:
		n.core.SetCandidate(true)
	default:
	}
}

func (d *deployment) runNode(n *node) {
	if n.pausedTicks > 0 {
		n.pausedTicks--

		return
	}

	now := n.now(d.elapsed)

	for !d.logDown && n.readCount < len(d.log)-n.lagRecords {
		n.core.Observe(now, d.log[n.readCount].offset, d.log[n.readCount].record)
		n.readCount++
	}

	if !d.logDown {
		n.core.CaughtUp(now)
	}

	for _, c := range n.core.Step(now) {
		d.appendUnreliably(c.Record)
	}
}

// appendUnreliably loses the record, or appends it after a short or long delay, or twice.
func (d *deployment) appendUnreliably(r lease.Record) {
	switch rapid.IntRange(0, 19).Draw(d.t, "append") {
	case 0:
		return
	case 1:
		d.delayAppend(r, 80)
	case 2:
		d.delayAppend(r, 4)
		d.delayAppend(r, 40)
	default:
		d.delayAppend(r, 3)
	}
}

func (d *deployment) delayAppend(r lease.Record, maxTicks int) {
	ticks := rapid.IntRange(0, maxTicks).Draw(d.t, "delay")
	d.delayed = append(d.delayed, delayedAppend{record: r, arrivesAt: d.elapsed + time.Duration(ticks)*tick})
}

// checkExclusive fails if more than one node considers itself the holder, or if the fencing
// token of a holder is lower than an earlier one. A paused node counts as a holder, since it
// may act when it resumes.
func (d *deployment) checkExclusive() {
	holders := 0

	for _, n := range d.nodes {
		fence, err := n.core.Check(n.now(d.elapsed))
		if err != nil {
			continue
		}

		holders++

		if fence < d.highestFence {
			d.t.Fatalf("fence of %s: got %d, want at least %d", n.self, fence, d.highestFence)
		}

		d.highestFence = fence
	}

	if holders > 1 {
		d.t.Fatalf("holders at %s: got %d, want at most 1", d.elapsed, holders)
	}
}

func TestHoldsLeaseExclusively(t *testing.T) {
	actedGrants, heldRuns := 0, 0

	rapid.Check(t, func(t *rapid.T) {
		d := newDeployment(t)

		last := lease.Fence(0)
		for range 400 {
			d.step()

			if d.highestFence != last {
				actedGrants++
				last = d.highestFence
			}
		}

		if last > 0 {
			heldRuns++
		}
	})

	t.Logf("runs with a holder: %d, grants that a holder used: %d", heldRuns, actedGrants)

	if heldRuns == 0 {
		t.Error("no run had a holder")
	}
}
