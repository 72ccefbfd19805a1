package routing

import (
	"sync/atomic"
	"time"
)

// outcomeCounters collects the outcomes of calls between two ticks.
type outcomeCounters struct {
	succeeded      atomic.Int64
	failed         atomic.Int64
	latencySum     atomic.Int64
	probeSucceeded atomic.Int64
	probeLatency   atomic.Int64
	probeFailed    atomic.Int64
}

// outcomeCounts is an interval that was taken out.
type outcomeCounts struct {
	succeeded  int64
	failed     int64
	latencySum time.Duration

	probeSucceeded int64
	probeLatency   time.Duration
	probeFailed    int64
}

func (i *outcomeCounters) take() outcomeCounts {
	return outcomeCounts{
		succeeded:      i.succeeded.Swap(0),
		failed:         i.failed.Swap(0),
		latencySum:     time.Duration(i.latencySum.Swap(0)),
		probeSucceeded: i.probeSucceeded.Swap(0),
		probeLatency:   time.Duration(i.probeLatency.Swap(0)),
		probeFailed:    i.probeFailed.Swap(0),
	}
}
