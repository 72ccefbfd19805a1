package admission

import (
	"math"
	"sync/atomic"
	"time"
)

// kind holds what is known of one kind of call of a service.
type kind struct {
	target atomic.Int64
	mean   atomic.Uint64
	spread atomic.Uint64
}

func (k *kind) learn(d time.Duration) {
	if d <= 0 {
		return
	}

	mean := math.Float64frombits(k.mean.Load())
	spread := math.Float64frombits(k.spread.Load())

	if mean == 0 {
		mean = float64(d)
	}

	miss := float64(d) - mean
	mean += meanWeight * miss
	spread += meanWeight * (math.Abs(miss) - spread)

	k.mean.Store(math.Float64bits(mean))
	k.spread.Store(math.Float64bits(spread))
}

// expect returns a time that most requests of the kind stay under.
func (k *kind) expect() time.Duration {
	return time.Duration(math.Float64frombits(k.mean.Load()) + math.Float64frombits(k.spread.Load()))
}
