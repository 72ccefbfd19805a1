package placement_test

import (
	"errors"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

const (
	service = fleet.Service("ledger-llm")
	owner   = "dk-east"
	maximum = 6
	second  = time.Second
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func cell(domain string) placement.Cell {
	return placement.Cell{Domain: fleet.FailureDomain(domain), Class: "gpu", Market: provider.Reclaimable}
}

var cells = []placement.Cell{cell("ballerup-a"), cell("ballerup-b"), cell("taastrup-1")}

// cloud is a cloud API that honours purchase tokens.
type cloud struct {
	byToken map[string]provider.Instance
	running map[fleet.InstanceID]provider.Instance
}

func (c *cloud) buy(p provider.Purchase, refuse bool) (provider.Instance, error) {
	if instance, ok := c.byToken[p.Token]; ok {
		return instance, nil
	}

	if refuse {
		return provider.Instance{}, provider.ErrNoCapacity
	}

	instance := provider.Instance{
		ID:    fleet.InstanceID("i-" + p.Token),
		Token: p.Token, Class: p.Class, Domain: p.Domain, Market: p.Market,
	}
	c.byToken[p.Token] = instance
	c.running[instance.ID] = instance

	return instance, nil
}

// controller is one process; each restart increments its epoch.
type controller struct {
	reconciler *placement.Reconciler
	epoch      int
	read       int
	fence      lease.Fence
}

// delayedEvent is a request or response in flight.
type delayedEvent struct {
	dueStep int
	run     func()
}

type simulation struct {
	t            *rapid.T
	cloud        *cloud
	log          []any
	controllers  []*controller
	events       []delayedEvent
	step         int
	faults       bool
	targets      []placement.Target
	purchases    int
	limits       []placement.Limit
	stepDuration time.Duration
	maximum      int
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, faults: true, stepDuration: second, maximum: maximum, cloud: &cloud{
		byToken: make(map[string]provider.Instance),
		running: make(map[fleet.InstanceID]provider.Instance),
	}}
	for range 3 {
		c := &controller{}
		w.restart(c)
		w.controllers = append(w.controllers, c)
	}

	w.limits = []placement.Limit{{Service: service, Max: maximum}}
	w.drawTargets()

	return w
}

func (w *simulation) restart(c *controller) {
	c.epoch++
	c.read = 0
	c.fence = 0
	c.reconciler = placement.NewReconciler(owner)
	c.reconciler.ListInterval = 3 * second
	c.reconciler.PurchaseRetryInterval = 4 * second
	c.reconciler.AppendRetryInterval = 3 * second
	c.reconciler.DrainTimeout = 5 * second
	c.reconciler.ChangesPerHour = 1000
}

func (w *simulation) drawTargets() {
	w.targets = nil
	left := maximum

	full := rapid.Bool().Draw(w.t, "full")

	for i, place := range cells {
		count := rapid.IntRange(0, min(left, 3)).Draw(w.t, "count")
		if full && i == len(cells)-1 {
			count = left
		}

		left -= count
		w.targets = append(w.targets, placement.Target{Service: service, Cell: place, Count: count})
	}
}

func (w *simulation) now() time.Time {
	return start.Add(time.Duration(w.step) * w.stepDuration)
}

// chance returns true with probability 1/n if faults are enabled.
func (w *simulation) chance(n int, label string) bool {
	return w.faults && rapid.IntRange(0, n-1).Draw(w.t, label) == 0
}

// delay returns a mostly short delay, and sometimes a long one as of a paused process.
func (w *simulation) delay() int {
	if !w.faults {
		return 1
	}

	if w.chance(12, "paused") {
		return rapid.IntRange(0, 60).Draw(w.t, "pause")
	}

	return rapid.IntRange(0, 3).Draw(w.t, "delay")
}

func (w *simulation) after(ticks int, run func()) {
	w.events = append(w.events, delayedEvent{dueStep: w.step + ticks, run: run})
}

func (w *simulation) tick() {
	w.step++
	due := w.events
	w.events = nil

	for _, e := range due {
		if e.dueStep > w.step {
			w.events = append(w.events, e)

			continue
		}

		e.run()
	}

	w.injectFaults()

	for _, c := range w.controllers {
		w.stepController(c)
	}

	if got := len(w.cloud.running); got > w.maximum {
		w.t.Fatalf("instances at step %d: got %d, want at most %d", w.step, got, w.maximum)
	}
}

func (w *simulation) injectFaults() {
	c := w.controllers[rapid.IntRange(0, 2).Draw(w.t, "controller")]

	if w.chance(25, "crash") {
		w.restart(c)
	}

	if w.chance(25, "grant") || w.step == 1 {
		w.grant(c)
	}

	if w.chance(30, "retarget") {
		w.drawTargets()
	}

	if w.chance(30, "reclaim") {
		for _, id := range sortedIDs(w.cloud.running) {
			delete(w.cloud.running, id)

			break
		}
	}
}

func (w *simulation) grant(c *controller) {
	fence := lease.Fence(len(w.log) + 1)
	w.log = append(w.log, fence)
	c.fence = fence
}

// stepController reads the log, sometimes late, so that an earlier holder stays active
// for a while.
func (w *simulation) stepController(c *controller) {
	if !w.chance(3, "reads late") {
		for ; c.read < len(w.log); c.read++ {
			switch entry := w.log[c.read].(type) {
			case lease.Fence:
				c.reconciler.Grant(entry)
			case placement.Record:
				c.reconciler.Read(entry)
			}
		}
	}

	if c.fence == 0 || w.chance(6, "skips") {
		return
	}

	for _, o := range c.reconciler.Instances(service) {
		c.reconciler.Observe(placement.Health{Instance: o.Instance.ID, Ready: true, Idle: true})
	}

	for _, command := range c.reconciler.Step(w.now(), c.fence, w.targets, w.limits) {
		w.perform(c, command)
	}
}

func (w *simulation) perform(c *controller, command placement.Command) {
	epoch := c.epoch
	answer := func(run func()) {
		w.after(w.delay(), func() {
			if c.epoch == epoch {
				run()
			}
		})
	}

	switch cmd := command.(type) {
	case placement.AppendCommand:
		if !w.chance(10, "append lost") {
			w.after(w.delay(), func() { w.log = append(w.log, cmd.Record) })
		}
	case placement.BuyCommand:
		w.performBuy(c, cmd, answer)
	case placement.ListCommand:
		w.after(w.delay(), func() {
			instances := make([]provider.Instance, 0, len(w.cloud.running))
			for instance := range maps.Values(w.cloud.running) {
				instances = append(instances, instance)
			}

			answer(func() { c.reconciler.ListFinished(cmd.Number, instances) })
		})
	case placement.ReleaseCommand:
		if !w.chance(10, "release lost") {
			w.after(w.delay(), func() { delete(w.cloud.running, cmd.Instance) })
		}
	}
}

// performBuy simulates a purchase whose response may be lost before or after the
// call takes effect.
func (w *simulation) performBuy(c *controller, cmd placement.BuyCommand, answer func(func())) {
	lost := w.chance(4, "answer lost")
	if lost {
		answer(func() {
			c.reconciler.PurchaseFinished(w.now(), cmd.Token, placement.OutcomeUnknown, provider.Instance{})
		})
	}

	w.after(w.delay(), func() {
		before := len(w.cloud.byToken)
		instance, err := w.cloud.buy(cmd.Purchase, w.chance(4, "refused"))
		w.purchases += len(w.cloud.byToken) - before

		if lost {
			return
		}

		outcome := placement.OutcomeBought
		if errors.Is(err, provider.ErrNoCapacity) {
			outcome = placement.OutcomeRefused
		}

		answer(func() { c.reconciler.PurchaseFinished(w.now(), cmd.Token, outcome, instance) })
	})
}

// settle disables faults and gives the newest holder time to finish.
func (w *simulation) settle() {
	w.faults = false
	w.grant(w.controllers[0])

	for range 150 {
		w.tick()
	}
}

func (w *simulation) checkSettled() {
	got := make(map[placement.Cell]int)
	for _, instance := range w.cloud.running {
		got[placement.Cell{Domain: instance.Domain, Class: instance.Class, Market: instance.Market}]++
	}

	for _, target := range w.targets {
		if got[target.Cell] != target.Count {
			w.t.Errorf("instances paid for in %s: got %d, want %d", target.Cell, got[target.Cell], target.Count)
		}
	}

	if got, want := len(w.controllers[0].reconciler.Ledger().Intents()), len(w.cloud.running); got != want {
		w.t.Errorf("open intents: got %d, want %d", got, want)
	}
}

func TestHoldsPurchasesMatchTargets(t *testing.T) {
	purchases := 0

	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for range 150 {
			w.tick()
		}

		w.settle()
		w.checkSettled()

		purchases += w.purchases
	})

	t.Logf("instances bought in all runs: %d", purchases)

	if purchases == 0 {
		t.Error("nothing was bought")
	}
}
