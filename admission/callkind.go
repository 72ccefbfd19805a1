package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// callKind holds what is known of one callKind of call of a service.
type callKind struct {
	targetLatency atomic.Int64
	meanDuration  atomic.Uint64
	meanDeviation atomic.Uint64
}

func (k *callKind) observe(d time.Duration) {
	if d <= 0 {
		return
	}

	mean := math.Float64frombits(k.meanDuration.Load())
	spread := math.Float64frombits(k.meanDeviation.Load())

	if mean == 0 {
		mean = float64(d)
	}

	deviation := float64(d) - mean
	mean += smoothingFactor * deviation
	spread += smoothingFactor * (math.Abs(deviation) - spread)

	k.meanDuration.Store(math.Float64bits(mean))
	k.meanDeviation.Store(math.Float64bits(spread))
}

// expectedDuration returns a time that most requests of the kind stay under.
func (k *callKind) expectedDuration() time.Duration {
	return time.Duration(math.Float64frombits(k.meanDuration.Load()) + math.Float64frombits(k.meanDeviation.Load()))
}
