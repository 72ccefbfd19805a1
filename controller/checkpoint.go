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
	// checkpointInterval is the time between two checkpoints, and less where the
	// log keeps records for less than checkpointsKept times that.
	checkpointInterval      = 5 * time.Minute
	checkpointsPerRetention = 8
	// checkpointRetryInterval is the time after which an unread checkpoint is written again.
	checkpointRetryInterval = 30 * time.Second
)

// checkpoint writes the state of the role: under each grant, and before the last
// checkpoint ages out.
func (c *Controller) checkpoint(now time.Time, retention time.Duration) {
	interval := checkpointInterval
	if retention > 0 {
		interval = min(interval, retention/checkpointsPerRetention)
	}

	sent := c.grant.checkpointSent
	fresh := c.stream.checkpointReadAt.After(sent) && now.Sub(c.stream.checkpointReadAt) < interval

	if !sent.IsZero() && (fresh || now.Sub(sent) < min(checkpointRetryInterval, interval)) {
		return
	}

	c.grant.checkpointSent = now
	c.counters.checkpoints.Inc()
	c.append(kindCheckpoint, Checkpoint{
		AsOf:     c.stream.asOf,
		AsOfTime: c.stream.asOfTime,
		Lease:    c.core.Snapshot(),
		Intents:  c.reconciler.Ledger().Snapshot(),
	})
}
