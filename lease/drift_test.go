package lease_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/lease"
)

// TestHoldsLeaseAcrossClockDrift lets a holder read its grant and nothing after it. The
// successor must not acquire the role, at the first moment that its own clock allows, while
// the holder may still act by its own clock.
func TestHoldsLeaseAcrossClockDrift(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := lease.DefaultConfig()
		config.MaxOrderDelay, config.Stagger = 0, 0
		config.MaxDrift = rapid.Float64Range(0, 0.09).Draw(t, "drift")
		rates := []float64{1 - config.MaxDrift, 1, 1 + config.MaxDrift}
		holderRate := rapid.SampledFrom(rates).Draw(t, "holder")
		successorRate := rapid.SampledFrom(rates).Draw(t, "successor")
		clockAt := func(rate float64, elapsed time.Duration) time.Time {
			return start.Add(time.Duration(float64(elapsed) * rate))
		}

		a, _ := lease.NewCore(config, role, holder("a"))
		b, _ := lease.NewCore(config, role, holder("b"))

		a.CaughtUp(start)
		b.CaughtUp(start)
		grant := a.Step(start)[0].Record
		a.Observe(start, 1, grant)
		b.Observe(start, 1, grant)

		for elapsed := time.Duration(0); elapsed < 2*config.Term; elapsed += 5 * time.Millisecond {
			b.CaughtUp(clockAt(successorRate, elapsed))

			if len(b.Step(clockAt(successorRate, elapsed))) == 0 {
				continue
			}

			if _, err := a.Check(clockAt(holderRate, elapsed)); err == nil {
				t.Fatalf("after %s: the successor acquires while the holder may still act", elapsed)
			}

			return
		}

		t.Fatal("the successor never acquired")
	})
}
