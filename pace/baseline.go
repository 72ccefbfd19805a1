package pace

import (
	"math"
	"time"
)

// baselineHalfLife is that of figures in the average: much longer than a slowness of the moment.
const baselineHalfLife = 30 * time.Second

// maxHeld is the time for which a figure is assumed to have held at most before the next one was
// known.
const maxHeld = 5 * time.Second

// Baseline is the long-term average of the figures that one server tells, weighted by the time for
// which each held. A server that always tells the same figure is at its usual slowness, whatever
// the figure: its learned rate shows how fast it is. The zero value has an average of 1. It is not
// safe for concurrent use.
type Baseline struct{ held average }

// Observe records two successive figures.
func (b *Baseline) Observe(before, after Slowness) {
	gap := min(after.At.Sub(before.At), maxHeld)
	if before.Value == 0 || gap <= 0 {
		return
	}

	b.held.add(after.At, Sample{LogSum: gap.Seconds() * math.Log(before.Value), Weight: gap.Seconds()}, baselineHalfLife)
}

// Relative returns a figure relative to the average.
func (b *Baseline) Relative(s Slowness) Slowness {
	average := math.Exp(b.held.sum.shrink(0))

	return Slowness{Value: BoundSlowness(s.Value / average), At: s.At}
}
