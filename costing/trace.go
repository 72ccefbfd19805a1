package costing

import (
	"math"
	"math/rand/v2"
)

// Minutes is the length of a scenario.
const Minutes = 24 * 60

const (
	rampMinutes  = 15
	noiseShare   = 0.03
	dailySwing   = 0.2
	closePeak    = 3
	closeMinutes = 90
	cyclePeak    = 2
	cycleMinutes = 240
)

// newTrace returns the load of every minute.
func newTrace(random *rand.Rand, base float64, shape Shape) []float64 {
	bumps := newBumps(random, shape)
	trace := make([]float64, Minutes)

	for minute := range trace {
		level := base * (1 + dailySwing*math.Sin(2*math.Pi*float64(minute)/Minutes))
		factor := 1.0

		for _, b := range bumps {
			factor = max(factor, b.factor(minute))
		}

		trace[minute] = level * factor * (1 + noiseShare*random.NormFloat64())
	}

	return trace
}

// bump is a rise of the load that ramps up and down.
type bump struct {
	start  int
	length int
	peak   float64
}

func (b bump) factor(minute int) float64 {
	up := float64(minute-b.start) / rampMinutes
	down := float64(b.start+b.length-minute) / rampMinutes

	return 1 + (b.peak-1)*min(1, max(0, min(up, down)))
}

func newBumps(random *rand.Rand, shape Shape) []bump {
	switch shape {
	case PaymentRun:
		return []bump{
			{start: 240 + random.IntN(120), length: closeMinutes, peak: closePeak},
			{start: 840 + random.IntN(120), length: closeMinutes, peak: closePeak},
		}
	case MarkingCycle:
		return []bump{{start: 480 + random.IntN(180), length: cycleMinutes, peak: cyclePeak}}
	default:
		return nil
	}
}
