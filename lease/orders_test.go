package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/lease"
)

// engine is a target that may ignore the fencing number.
type engine struct {
	checks  bool
	fence   lease.Fence
	version int
}

func (e *engine) take(fence lease.Fence, version int) bool {
	if e.checks && fence < e.fence {
		return false
	}

	e.fence = fence
	e.version = version

	return true
}

// sent is an order on its way; a pause of its sender delays it at will.
type sent struct {
	fence   lease.Fence
	version int
	lands   time.Time
	answer  func(now time.Time)
}

const (
	readEvery = 2 * time.Second
	flight    = time.Second
)

// handover runs an engine under successive holders whose orders may be delayed
// past the next grant, and returns when the last stale order took effect.
func handover(t *rapid.T, e *engine, until time.Time) (*lease.Corrector[int], time.Time) {
	var (
		flying    []sent
		corrector *lease.Corrector[int]
		lastStale = start
		highest   lease.Fence
		wanted    int
	)

	fence := lease.Fence(0)

	for now := start; now.Before(until); now = now.Add(100 * time.Millisecond) {
		if fence == 0 || now.Before(until.Add(-30*time.Second)) && rapid.IntRange(0, 99).Draw(t, "grant") == 0 {
			fence += lease.Fence(rapid.IntRange(1, 9).Draw(t, "fence"))
			corrector = &lease.Corrector[int]{ReadInterval: readEvery, RetryInterval: flight, MaxOrderDelay: flight}
			wanted = rapid.IntRange(1, 3).Draw(t, "version")
			corrector.SetDesired("runner-1", wanted)
		}

		kept := flying[:0]

		for _, o := range flying {
			if o.lands.After(now) {
				kept = append(kept, o)

				continue
			}

			o.answer(now)

			if e.take(o.fence, o.version) && o.fence < fence {
				lastStale = now

				if e.checks && o.fence < highest {
					t.Fatalf("order of fence %d took effect after %d", o.fence, highest)
				}
			}

			highest = max(highest, e.fence)
		}

		flying = kept

		// Once the holder has read its own fence back, no older order gets in.
		if e.checks && corrector.Settled("runner-1") && e.version != wanted {
			t.Fatalf("state of a settled engine: got %d, want %d", e.version, wanted)
		}

		for _, a := range corrector.Step(now, fence) {
			if a.Read {
				corrector.Observe(a.Target, lease.Readback[int]{State: e.version, Fence: e.fence, ChecksFence: e.checks})

				continue
			}

			delay := time.Duration(rapid.IntRange(0, 10).Draw(t, "delay")) * 100 * time.Millisecond
			if now.Before(until.Add(-40*time.Second)) && rapid.IntRange(0, 4).Draw(t, "pause") == 0 {
				delay = time.Duration(rapid.IntRange(0, 40).Draw(t, "paused")) * time.Second
			}

			flying = append(flying, sent{fence: a.Fence, version: a.State, lands: now.Add(delay), answer: answered(corrector, a.Target)})
		}
	}

	return corrector, lastStale
}

func answered(c *lease.Corrector[int], id fleet.InstanceID) func(time.Time) {
	return func(now time.Time) { c.OrderFinished(now, id, true) }
}

func TestHoldsLeaseOrdersWithCheckingEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{checks: true}
		corrector, _ := handover(t, e, start.Add(2*time.Minute))

		if !corrector.Settled("runner-1") {
			t.Errorf("settled: got false, want true")
		}
	})
}

func TestHoldsLeaseOrdersConvergeWithIgnoringEngine(t *testing.T) {
	stale := 0

	rapid.Check(t, func(t *rapid.T) {
		e := &engine{}
		until := start.Add(2 * time.Minute)
		corrector, lastStale := handover(t, e, until)

		if lastStale.After(start) {
			stale++
		}

		// One read notices the stale state, and one order of at most flight mends it.
		if until.Sub(lastStale) <= readEvery+2*flight {
			return
		}

		if !corrector.Settled("runner-1") {
			t.Errorf("settled %s after the last stale order: got false, want true", until.Sub(lastStale))
		}
	})

	t.Logf("runs in which a stale order took effect: %d", stale)

	if stale == 0 {
		t.Error("no run had a stale order")
	}
}
