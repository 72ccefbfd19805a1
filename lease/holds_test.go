package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/provider"
)

// tick is the step of true time in the simulated deployment.
const tick = 50 * time.Millisecond

// node is one process with a clock that runs at its own rate.
type node struct {
	core   *lease.Core
	self   lease.Holder
	rate   float64
	offset time.Duration
	read   int
	paused int
	// lag keeps the node from reading the newest records.
	lag int
}

func (n *node) now(elapsed time.Duration) time.Time {
	return start.Add(n.offset + time.Duration(float64(elapsed)*n.rate))
}

type entry struct {
	offset provider.Offset
	record lease.Record
}

type flying struct {
	record lease.Record
	lands  time.Duration
}

// deployment is a log and some nodes that lose, delay and reorder appends.
type deployment struct {
	t       *rapid.T
	config  lease.Config
	elapsed time.Duration
	nodes   []*node
	log     []entry
	flying  []flying
	down    bool
	highest lease.Fence
}

func newDeployment(t *rapid.T) *deployment {
	d := &deployment{t: t}
	// Flight and stagger would hide a wait that is too short.
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
		d.boot(n)
	}

	return d
}

func (d *deployment) boot(n *node) {
	core, err := lease.NewCore(d.config, role, n.self)
	if err != nil {
		d.t.Fatal(err)
	}

	n.core = core
	n.read = 0
}

func (d *deployment) step() {
	d.elapsed += tick
	d.land()
	d.disturb()

	for _, n := range d.nodes {
		d.run(n)
	}

	d.check()
}

func (d *deployment) land() {
	kept := d.flying[:0]

	for _, f := range d.flying {
		if f.lands > d.elapsed || d.down {
			kept = append(kept, f)

			continue
		}

		d.log = append(d.log, entry{offset: provider.Offset(len(d.log) + 1), record: f.record})
	}

	d.flying = kept
}

func (d *deployment) disturb() {
	n := d.nodes[rapid.IntRange(0, len(d.nodes)-1).Draw(d.t, "node")]

	switch rapid.IntRange(0, 79).Draw(d.t, "disturbance") {
	case 0, 1, 2:
		n.paused = rapid.IntRange(1, 80).Draw(d.t, "pause")
	case 3, 4, 5:
		n.lag = rapid.IntRange(0, 3).Draw(d.t, "lag")
	case 6:
		n.self.Incarnation++
		d.boot(n)
	case 7:
		d.down = !d.down
	case 8:
		for _, c := range n.core.Release(n.now(d.elapsed)) {
			d.append(c.Record)
		}
	case 9, 10:
		n.core.SetCandidate(true)
	default:
	}
}

func (d *deployment) run(n *node) {
	if n.paused > 0 {
		n.paused--

		return
	}

	now := n.now(d.elapsed)

	for !d.down && n.read < len(d.log)-n.lag {
		n.core.Observe(now, d.log[n.read].offset, d.log[n.read].record)
		n.read++
	}

	if !d.down {
		n.core.CaughtUp(now)
	}

	for _, c := range n.core.Step(now) {
		d.append(c.Record)
	}
}

// append loses the record, or lets it land at once, late or twice.
func (d *deployment) append(r lease.Record) {
	switch rapid.IntRange(0, 19).Draw(d.t, "append") {
	case 0:
		return
	case 1:
		d.fly(r, 80)
	case 2:
		d.fly(r, 4)
		d.fly(r, 40)
	default:
		d.fly(r, 3)
	}
}

func (d *deployment) fly(r lease.Record, most int) {
	ticks := rapid.IntRange(0, most).Draw(d.t, "flight")
	d.flying = append(d.flying, flying{record: r, lands: d.elapsed + time.Duration(ticks)*tick})
}

// check holds at most one holder by its own judgement, and its fence never to
// be lower than one seen before. A paused holder counts: it may act as it wakes.
func (d *deployment) check() {
	holders := 0

	for _, n := range d.nodes {
		fence, err := n.core.Check(n.now(d.elapsed))
		if err != nil {
			continue
		}

		holders++

		if fence < d.highest {
			d.t.Fatalf("fence of %s: got %d, want at least %d", n.self, fence, d.highest)
		}

		d.highest = fence
	}

	if holders > 1 {
		d.t.Fatalf("holders at %s: got %d, want at most 1", d.elapsed, holders)
	}
}

func TestHoldsLeaseByOne(t *testing.T) {
	changes, held := 0, 0

	rapid.Check(t, func(t *rapid.T) {
		d := newDeployment(t)

		last := lease.Fence(0)
		for range 400 {
			d.step()

			if d.highest != last {
				changes++
				last = d.highest
			}
		}

		if last > 0 {
			held++
		}
	})

	t.Logf("runs with a holder: %d, grants that were acted on: %d", held, changes)

	if held == 0 {
		t.Error("no run had a holder")
	}
}
