package routing

import (
	"sync/atomic"
	"time"
)

// outcomeCounters accumulates the outcomes of calls between two ticks.
type outcomeCounters struct {
	succeeded      atomic.Int64
	failed         atomic.Int64
	latencySum     atomic.Int64
	probeSucceeded atomic.Int64
	probeLatency   atomic.Int64
	probeFailed    atomic.Int64
}

// outcomeCounts is the content of outcomeCounters at a tick.
type outcomeCounts struct {
	succeeded  int64
	failed     int64
	latencySum time.Duration

	probeSucceeded int64
	probeLatency   time.Duration
	probeFailed    int64
}

func (c *outcomeCounters) take() outcomeCounts {
	return outcomeCounts{
		succeeded:      c.succeeded.Swap(0),
		failed:         c.failed.Swap(0),
		latencySum:     time.Duration(c.latencySum.Swap(0)),
		probeSucceeded: c.probeSucceeded.Swap(0),
		probeLatency:   time.Duration(c.probeLatency.Swap(0)),
		probeFailed:    c.probeFailed.Swap(0),
	}
}
