package controller

import (
	"time"

	"monsoonlever/lease"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// Checkpoint is the state of a role after the log entry at AsOf. The holder appends checkpoints, so
// that an instance can start from the retained part of the log.
type Checkpoint struct {
	AsOf     provider.Offset    `msgpack:"asOf"`
	AsOfTime time.Time          `msgpack:"asOfTime"`
	Lease    lease.Snapshot     `msgpack:"lease"`
	Intents  placement.Snapshot `msgpack:"intents"`
}

const (
	// checkpointInterval is the maximum time between two checkpoints. It is shortened to
	// retention/checkpointsPerRetention if the log retains records for a shorter time.
	checkpointInterval      = 5 * time.Minute
	checkpointsPerRetention = 8
	// checkpointRetryInterval is the time after which a checkpoint is appended again if it was not
	// read back from the log.
	checkpointRetryInterval = 30 * time.Second
)

// checkpoint appends the state of the role once after each grant, and then periodically, so that the
// retained part of the log always contains a checkpoint.
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
