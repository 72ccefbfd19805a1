package placement_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/placement"
)

// engine simulates a runner that checks the fence of each order.
type engine struct {
	id      fleet.InstanceID
	spec    placement.EngineSpec
	fence   lease.Fence
	ready   bool
	loading int
	busy    int
}

func (e *engine) applyOrder(fence lease.Fence, spec placement.EngineSpec) {
	if fence < e.fence {
		return
	}

	e.fence = fence
	if spec != e.spec {
		e.spec = spec
		e.ready = false
		e.loading = 4
	}
}

func version(v string) placement.EngineSpec {
	return placement.EngineSpec{Model: "ledger", Version: fleet.ModelVersion(v)}
}

// rolloutSimulation runs a rollout with delayed orders and changes of the holder.
type rolloutSimulation struct {
	t        *rapid.T
	engines  []*engine
	inFlight []delayedEvent
	step     int
}

// rolloutHolder is one holder, whose orders may arrive after the next grant.
type rolloutHolder struct {
	fence     lease.Fence
	rollout   *placement.Rollout
	corrector *lease.Corrector[placement.EngineSpec]
}

func newRolloutHolder(fence lease.Fence) *rolloutHolder {
	return &rolloutHolder{
		fence:     fence,
		rollout:   &placement.Rollout{DrainTimeout: 5 * time.Second, MaxUnavailable: 2},
		corrector: &lease.Corrector[placement.EngineSpec]{ReadInterval: second, RetryInterval: 2 * second, MaxOrderDelay: 3 * second},
	}
}

func (f *rolloutSimulation) now() time.Time {
	return start.Add(time.Duration(f.step) * second)
}

func (f *rolloutSimulation) engineByID(id fleet.InstanceID) *engine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}

	return nil
}

func (f *rolloutSimulation) runners(fence lease.Fence) []placement.Runner {
	var result []placement.Runner
	for _, e := range f.engines {
		result = append(result, placement.Runner{
			Instance: e.id, Spec: e.spec, Ready: e.ready, Idle: e.busy == 0, Settled: e.fence == fence,
		})
	}

	return result
}

// send delivers an order late if its sender is paused. Sometimes the
// response is lost, and the order arrives after its call has failed.
func (f *rolloutSimulation) send(h *rolloutHolder, a lease.Action[placement.EngineSpec]) {
	e := f.engineByID(a.Target)
	delay := rapid.IntRange(0, 2).Draw(f.t, "delay")

	switch rapid.IntRange(0, 9).Draw(f.t, "fault") {
	case 0:
		delay = rapid.IntRange(0, 40).Draw(f.t, "pause")
	case 1:
		late := delay + rapid.IntRange(0, 2).Draw(f.t, "late")
		f.after(delay, func() { h.corrector.OrderFinished(f.now(), a.Target, false) })
		f.after(late, func() { e.applyOrder(a.Fence, a.State) })

		return
	}

	f.after(delay, func() {
		e.applyOrder(a.Fence, a.State)
		h.corrector.OrderFinished(f.now(), a.Target, true)
	})
}

func (f *rolloutSimulation) after(ticks int, run func()) {
	f.inFlight = append(f.inFlight, delayedEvent{dueStep: f.step + ticks, run: run})
}

func (f *rolloutSimulation) deliverDue() {
	inFlight := f.inFlight
	f.inFlight = nil

	for _, o := range inFlight {
		if o.dueStep > f.step {
			f.inFlight = append(f.inFlight, o)

			continue
		}

		before := f.ready()
		o.run()

		if before > 0 && f.ready() == 0 {
			f.t.Fatalf("step %d: an order took the last ready runner", f.step)
		}
	}
}

func (f *rolloutSimulation) ready() int {
	count := 0

	for _, e := range f.engines {
		if e.ready {
			count++
		}
	}

	return count
}

func (f *rolloutSimulation) advanceEngines() {
	for _, e := range f.engines {
		e.busy = max(0, e.busy-1)
		e.loading = max(0, e.loading-1)
		e.ready = e.ready || e.loading == 0
	}
}

func TestHoldsRolloutKeepsReadyRunner(t *testing.T) {
	moved := 0

	rapid.Check(t, func(t *rapid.T) {
		f := &rolloutSimulation{t: t}

		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			f.engines = append(f.engines, &engine{
				id: fleet.InstanceID(fmt.Sprintf("r%d", i)), spec: version("1"), ready: true,
				busy: rapid.IntRange(0, 10).Draw(t, "busy"),
			})
		}

		wanted := placement.Service{Name: service, Spec: version("2")}
		holders := []*rolloutHolder{newRolloutHolder(1)}

		for f.step = 0; f.step < 250; f.step++ {
			f.deliverDue()
			f.advanceEngines()

			if f.step < 100 && rapid.IntRange(0, 9).Draw(t, "grant") == 0 {
				holders = append(holders, newRolloutHolder(lease.Fence(len(holders)+1)))
			}

			// The lease stops earlier holders from new decisions, but orders delayed
			// by a pause still arrive.
			f.stepHolder(holders[len(holders)-1], wanted)
		}

		for _, e := range f.engines {
			if len(f.engines) > 1 && e.spec != wanted.Spec {
				t.Errorf("%s: got version %s, want %s", e.id, e.spec.Version, wanted.Spec.Version)
			}

			if e.spec == wanted.Spec {
				moved++
			}
		}
	})

	t.Logf("runners moved to the new version in all runs: %d", moved)

	if moved == 0 {
		t.Error("no runner was moved")
	}
}

func (f *rolloutSimulation) stepHolder(h *rolloutHolder, wanted placement.Service) {
	all := func(fleet.InstanceID) bool { return true }
	for _, a := range h.rollout.Step(f.now(), wanted, f.runners(h.fence), all) {
		h.corrector.SetDesired(a.Instance, a.Spec)
	}

	for _, a := range h.corrector.Step(f.now(), h.fence) {
		if !a.Read {
			f.send(h, a)

			continue
		}

		e := f.engineByID(a.Target)
		h.corrector.Observe(a.Target, lease.Readback[placement.EngineSpec]{State: e.spec, Fence: e.fence, ChecksFence: true})
	}
}
