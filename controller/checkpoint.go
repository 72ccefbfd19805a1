package controller

import (
	"time"

	"monsoonlever/lease"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// Checkpoint is the state of a role after the entry at an offset. The holder
// writes it, so that an instance can start from the retained part of the log.
type Checkpoint struct {
	AsOf     provider.Offset    `msgpack:"asOf"`
	AsOfTime time.Time          `msgpack:"asOfTime"`
	Lease    lease.Snapshot     `msgpack:"lease"`
	Intents  placement.Snapshot `msgpack:"intents"`
}

const (
	// checkpointEvery is the time between two checkpoints, and less where the
	// log keeps records for less than checkpointsKept times that.
	checkpointEvery = 5 * time.Minute
	checkpointsKept = 8
	// checkpointRetry is the time after which an unread checkpoint is written again.
	checkpointRetry = 30 * time.Second
)

// checkpoint writes the state of the role: under each grant, and before the last
// checkpoint ages out.
func (c *Controller) checkpoint(now time.Time, retention time.Duration) {
	every := checkpointEvery
	if retention > 0 {
		every = min(every, retention/checkpointsKept)
	}

	sent := c.holding.checkpointSent
	fresh := c.history.checkpointed.After(sent) && now.Sub(c.history.checkpointed) < every

	if !sent.IsZero() && (fresh || now.Sub(sent) < min(checkpointRetry, every)) {
		return
	}

	c.holding.checkpointSent = now
	c.counters.checkpoints.Inc()
	c.append(kindCheckpoint, Checkpoint{
		AsOf:     c.history.asOf,
		AsOfTime: c.history.asOfTime,
		Lease:    c.core.Snapshot(),
		Intents:  c.reconciler.Ledger().Snapshot(),
	})
}
