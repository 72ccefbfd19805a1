package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// callKind holds the latency target and the measured duration of one kind of call of a service.
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
	meanDeviation := math.Float64frombits(k.meanDeviation.Load())

	if mean == 0 {
		mean = float64(d)
	}

	deviation := float64(d) - mean
	mean += smoothingFactor * deviation
	meanDeviation += smoothingFactor * (math.Abs(deviation) - meanDeviation)

	k.meanDuration.Store(math.Float64bits(mean))
	k.meanDeviation.Store(math.Float64bits(meanDeviation))
}

// expectedDuration returns a duration that most calls of this kind stay below: the mean plus the
// mean absolute deviation.
func (k *callKind) expectedDuration() time.Duration {
	return time.Duration(math.Float64frombits(k.meanDuration.Load()) + math.Float64frombits(k.meanDeviation.Load()))
}
