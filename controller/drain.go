package controller

import (
	"context"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/placement"
)

// drain is the state of an instance that finishes its requests before it is released.
type drain struct {
	since       time.Time
	requestedAt time.Time
	idle        bool
}

// drain marks an instance as leaving, so that it receives no new requests. A drain cannot be
// canceled.
func (c *Controller) drain(now time.Time, id fleet.InstanceID) {
	if c.grant.drains[id] != nil {
		return
	}

	c.grant.drains[id] = &drain{since: now}
	c.Servers.MarkLeaving(id, now.Add(c.reconciler.DrainTimeout))
}

// observeHealth reports the state of each server to the reconciler.
func (c *Controller) observeHealth(ctx context.Context, v view) {
	for _, s := range v.servers {
		d := c.grant.drains[s.ID]
		if d != nil {
			c.checkIdle(ctx, v.now, s, d)
		}

		c.reconciler.Observe(placement.Health{
			Instance: s.ID,
			Ready:    s.Ready && !s.Leaving,
			Idle:     d != nil && d.idle,
			Leaving:  s.Leaving,
		})
	}
}

// checkIdle requests the load of a draining server once every entry instance knows that the server
// is leaving. Only a load report from after that time proves that the server is idle.
func (c *Controller) checkIdle(ctx context.Context, now time.Time, s Server, d *drain) {
	settled := d.since.Add(drainSettleTime)
	if d.idle || now.Before(settled) || !isDue(now, d.requestedAt, readInterval) {
		return
	}

	d.requestedAt = now

	c.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()

		load, err := s.Client.Load(callCtx)

		c.mu.Lock()
		defer c.mu.Unlock()

		d.idle = err == nil && !load.At.Before(settled) && load.Running+load.Waiting == 0
	})
}
