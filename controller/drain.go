package controller

import (
	"context"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/placement"
)

// drain is an instance that is given up and finishes its work.
type drain struct {
	since       time.Time
	requestedAt time.Time
	idle        bool
}

// drain stops new work on an instance; that cannot be taken back.
func (c *Controller) drain(now time.Time, id fleet.InstanceID) {
	if c.grant.drains[id] != nil {
		return
	}

	c.grant.drains[id] = &drain{since: now}
	c.Servers.MarkLeaving(id, now.Add(c.reconciler.DrainTimeout))
}

// observeHealth tells the reconciler what is known of each server's work.
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

// checkIdle asks a server whether its work is done, once every entry instance
// knows that it gets no more. Only a report made after that counts.
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
