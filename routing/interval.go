package routing

import (
	"sync/atomic"
	"time"
)

// interval collects the outcomes of calls between two ticks.
type interval struct {
	done        atomic.Int64
	failed      atomic.Int64
	latency     atomic.Int64
	probeDone   atomic.Int64
	probeTime   atomic.Int64
	probeFailed atomic.Int64
}

// outcomes is an interval that was taken out.
type outcomes struct {
	done    int64
	failed  int64
	latency time.Duration

	probeDone   int64
	probeTime   time.Duration
	probeFailed int64
}

func (i *interval) take() outcomes {
	return outcomes{
		done:        i.done.Swap(0),
		failed:      i.failed.Swap(0),
		latency:     time.Duration(i.latency.Swap(0)),
		probeDone:   i.probeDone.Swap(0),
		probeTime:   time.Duration(i.probeTime.Swap(0)),
		probeFailed: i.probeFailed.Swap(0),
	}
}
