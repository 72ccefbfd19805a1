package pace

import (
	"math"
	"time"
)

// Bounds of told figures, and how long they hold.
const (
	// MinSlowness and MaxSlowness bound the figures that servers tell.
	MinSlowness = 0.25
	MaxSlowness = 10.0
	// unusual is the difference from 1 above which a figure counts as unusual.
	unusual = 0.1
	// priorPersistence is how long an unusual figure is assumed to hold while that is unknown: about
	// as long as a machine takes to notice and move a load that it shares, half a second.
	priorPersistence = 500 * time.Millisecond
	// priorChanges is the weight of priorPersistence in observed changes.
	priorChanges = 4
	// maxObservedGap is the time between two figures up to which no change between them is assumed
	// to be missed.
	maxObservedGap = time.Second
)

// Slowness is how long work takes on a server's machine at a moment, relative to usual, as the
// server told. The zero value means that it never told.
type Slowness struct {
	Value float64
	At    time.Time
}

// BoundSlowness returns a told figure within the bounds, or zero if it is no positive number.
func BoundSlowness(value float64) float64 {
	if !(value > 0) {
		return 0
	}

	return min(max(value, MinSlowness), MaxSlowness)
}

// Expected returns the slowness that is expected by a figure of some age: the older it is, the
// closer to 1, at a rate at which unusual figures were seen to end.
func (s Slowness) Expected(now time.Time, persistence time.Duration) float64 {
	if s.Value == 0 || s.Value == 1 {
		return 1
	}

	age := max(now.Sub(s.At), 0)

	return 1 + (s.Value-1)*math.Exp(-float64(age)/float64(max(persistence, time.Millisecond)))
}

// isUnusual reports whether the figure differs from 1.
func (s Slowness) isUnusual() bool { return math.Abs(s.Value-1) > unusual }

// Persistence measures how long unusual figures hold. The zero value assumes half a second. It is
// not safe for concurrent use.
type Persistence struct {
	observed time.Duration
	ended    float64
}

// Observe records two successive figures of one server.
func (p *Persistence) Observe(before, after Slowness) {
	gap := after.At.Sub(before.At)
	if before.Value == 0 || !before.isUnusual() || gap <= 0 || gap > maxObservedGap {
		return
	}

	if math.Abs(before.Value-after.Value) <= unusual {
		p.observed += gap

		return
	}

	// The figure changed at some time between the two.
	p.observed += gap / 2
	p.ended++

	const maxEnded = 256
	if p.ended >= maxEnded {
		p.ended /= 2
		p.observed /= 2
	}
}

// Time returns the mean time for which an unusual figure holds, one second at most: figures that are
// further apart are not compared, and a server that always tells an unusual one must not make those of
// all others last.
func (p *Persistence) Time() time.Duration {
	mean := float64(p.observed+priorChanges*priorPersistence) / (p.ended + priorChanges)

	return min(time.Duration(mean), maxObservedGap)
}
