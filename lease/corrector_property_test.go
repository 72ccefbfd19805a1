package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/lease"
)

// engine is a target that may ignore fencing tokens.
type engine struct {
	checksFence bool
	fence       lease.Fence
	version     int
}

func (e *engine) applyOrder(fence lease.Fence, version int) bool {
	if e.checksFence && fence < e.fence {
		return false
	}

	e.fence = fence
	e.version = version

	return true
}

// delayedOrder is an order that was sent and has not arrived. A pause of its sender can delay
// it for any time.
type delayedOrder struct {
	fence     lease.Fence
	version   int
	arrivesAt time.Time
	finish    func(now time.Time)
}

const (
	readInterval  = 2 * time.Second
	maxOrderDelay = time.Second
)

// simulateHandovers runs an engine under successive holders whose orders may arrive after the
// next grant. It returns the corrector of the last holder and the time at which the last stale
// order took effect.
func simulateHandovers(t *rapid.T, e *engine, until time.Time) (*lease.Corrector[int], time.Time) {
	var (
		delayed      []delayedOrder
		corrector    *lease.Corrector[int]
		lastStale    = start
		highestFence lease.Fence
		desired      int
	)

	fence := lease.Fence(0)

	for now := start; now.Before(until); now = now.Add(100 * time.Millisecond) {
		if fence == 0 || now.Before(until.Add(-30*time.Second)) && rapid.IntRange(0, 99).Draw(t, "grant") == 0 {
			fence += lease.Fence(rapid.IntRange(1, 9).Draw(t, "fence"))
			corrector = &lease.Corrector[int]{ReadInterval: readInterval, RetryInterval: maxOrderDelay, MaxOrderDelay: maxOrderDelay}
			desired = rapid.IntRange(1, 3).Draw(t, "version")
			corrector.SetDesired("runner-1", desired)
		}

		remaining := delayed[:0]

		for _, o := range delayed {
			if o.arrivesAt.After(now) {
				remaining = append(remaining, o)

				continue
			}

			o.finish(now)

			if e.applyOrder(o.fence, o.version) && o.fence < fence {
				lastStale = now

				if e.checksFence && o.fence < highestFence {
					t.Fatalf("order of fence %d took effect after %d", o.fence, highestFence)
				}
			}

			highestFence = max(highestFence, e.fence)
		}

		delayed = remaining

		// Once the holder has read back its own fence, the engine refuses all older orders.
		if e.checksFence && corrector.Settled("runner-1") && e.version != desired {
			t.Fatalf("state of a settled engine: got %d, want %d", e.version, desired)
		}

		for _, a := range corrector.Step(now, fence) {
			if a.Read {
				corrector.Observe(a.Target, lease.Readback[int]{State: e.version, Fence: e.fence, ChecksFence: e.checksFence})

				continue
			}

			delay := time.Duration(rapid.IntRange(0, 10).Draw(t, "delay")) * 100 * time.Millisecond
			if now.Before(until.Add(-40*time.Second)) && rapid.IntRange(0, 4).Draw(t, "pause") == 0 {
				delay = time.Duration(rapid.IntRange(0, 40).Draw(t, "paused")) * time.Second
			}

			delayed = append(delayed, delayedOrder{fence: a.Fence, version: a.State, arrivesAt: now.Add(delay), finish: finishOrder(corrector, a.Target)})
		}
	}

	return corrector, lastStale
}

func finishOrder(c *lease.Corrector[int], id fleet.InstanceID) func(time.Time) {
	return func(now time.Time) { c.OrderFinished(now, id, true) }
}

func TestHoldsLeaseOrdersOnFencingEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{checksFence: true}
		corrector, _ := simulateHandovers(t, e, start.Add(2*time.Minute))

		if !corrector.Settled("runner-1") {
			t.Errorf("settled: got false, want true")
		}
	})
}

func TestHoldsLeaseOrdersConvergeOnNonFencingEngine(t *testing.T) {
	staleRuns := 0

	rapid.Check(t, func(t *rapid.T) {
		e := &engine{}
		until := start.Add(2 * time.Minute)
		corrector, lastStale := simulateHandovers(t, e, until)

		if lastStale.After(start) {
			staleRuns++
		}

		// One read detects the stale state, and one order corrects it within maxOrderDelay.
		if until.Sub(lastStale) <= readInterval+2*maxOrderDelay {
			return
		}

		if !corrector.Settled("runner-1") {
			t.Errorf("settled %s after the last stale order: got false, want true", until.Sub(lastStale))
		}
	})

	t.Logf("runs in which a stale order took effect: %d", staleRuns)

	if staleRuns == 0 {
		t.Error("no run had a stale order")
	}
}
