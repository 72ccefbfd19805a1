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

// engine is a runner that loads what it is ordered to and checks fences.
type engine struct {
	id      fleet.InstanceID
	holding placement.Holding
	fence   lease.Fence
	ready   bool
	loading int
	busy    int
}

func (e *engine) take(fence lease.Fence, holding placement.Holding) {
	if fence < e.fence {
		return
	}

	e.fence = fence
	if holding != e.holding {
		e.holding = holding
		e.ready = false
		e.loading = 4
	}
}

func version(v string) placement.Holding {
	return placement.Holding{Model: "ledger", Version: fleet.ModelVersion(v)}
}

// fleetOfEngines runs a rollout with delayed orders and changes of the holder.
type fleetOfEngines struct {
	t       *rapid.T
	engines []*engine
	flying  []func()
	lands   []int
	step    int
	lost    bool
}

func (f *fleetOfEngines) runners(fence lease.Fence) []placement.Runner {
	var result []placement.Runner
	for _, e := range f.engines {
		result = append(result, placement.Runner{
			Instance: e.id, Holding: e.holding, Ready: e.ready, Idle: e.busy == 0, Settled: e.fence == fence,
		})
	}

	return result
}

func (f *fleetOfEngines) send(e *engine, fence lease.Fence, holding placement.Holding) {
	delay := rapid.IntRange(0, 2).Draw(f.t, "delay")
	if rapid.IntRange(0, 9).Draw(f.t, "paused") == 0 {
		delay = rapid.IntRange(0, 40).Draw(f.t, "pause")
	}

	f.flying = append(f.flying, func() { e.take(fence, holding) })
	f.lands = append(f.lands, f.step+delay)
}

func (f *fleetOfEngines) land() {
	flying, lands := f.flying, f.lands
	f.flying, f.lands = nil, nil

	for i, run := range flying {
		if lands[i] > f.step {
			f.flying = append(f.flying, run)
			f.lands = append(f.lands, lands[i])

			continue
		}

		before := f.ready()
		run()

		if before > 0 && f.ready() == 0 {
			f.t.Fatalf("step %d: an order took the last ready runner", f.step)
		}
	}
}

func (f *fleetOfEngines) ready() int {
	count := 0

	for _, e := range f.engines {
		if e.ready {
			count++
		}
	}

	return count
}

func (f *fleetOfEngines) work() {
	for _, e := range f.engines {
		e.busy = max(0, e.busy-1)
		e.loading = max(0, e.loading-1)
		e.ready = e.ready || e.loading == 0
	}
}

func TestHoldsRolloutKeepsReadyRunner(t *testing.T) {
	moved := 0

	rapid.Check(t, func(t *rapid.T) {
		f := &fleetOfEngines{t: t}

		for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
			f.engines = append(f.engines, &engine{
				id: fleet.InstanceID(fmt.Sprintf("r%d", i)), holding: version("1"), ready: true,
				busy: rapid.IntRange(0, 10).Draw(t, "busy"),
			})
		}

		wanted := placement.Service{Name: service, Holding: version("2")}
		holders := []*placement.Rollout{{DrainTimeout: 5 * time.Second, MaxUnavailable: 2}}
		fences := []lease.Fence{1}

		for f.step = 0; f.step < 200; f.step++ {
			f.land()
			f.work()

			if f.step < 100 && rapid.IntRange(0, 19).Draw(t, "grant") == 0 {
				holders = append(holders, &placement.Rollout{DrainTimeout: 5 * time.Second, MaxUnavailable: 2})
				fences = append(fences, fences[len(fences)-1]+1)
			}

			// The holder before the newest goes on as if it still held the lease.
			for i := max(0, len(holders)-2); i < len(holders); i++ {
				f.act(holders[i], fences[i], wanted)
			}
		}

		for _, e := range f.engines {
			if len(f.engines) > 1 && e.holding != wanted.Holding {
				t.Errorf("%s: got version %s, want %s", e.id, e.holding.Version, wanted.Holding.Version)
			}

			if e.holding == wanted.Holding {
				moved++
			}
		}
	})

	t.Logf("runners moved to the new version in all runs: %d", moved)
}

func (f *fleetOfEngines) act(r *placement.Rollout, fence lease.Fence, wanted placement.Service) {
	now := start.Add(time.Duration(f.step) * second)
	all := func(fleet.InstanceID) bool { return true }

	for i, a := range r.Step(now, wanted, f.runners(fence), all) {
		e := f.engines[i]
		if e.fence != fence || e.holding != a.Holding {
			f.send(e, fence, a.Holding)
		}
	}
}
