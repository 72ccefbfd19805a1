package controller

import (
	"context"
	"time"

	"monsoonlever/lease"
	"monsoonlever/provider"
)

// listInterval is the time between two listings where none is decided.
const listInterval = 5 * time.Second

// list asks the cloud API for its instances. A controller that acts lists by its
// reconciler's commands instead.
func (c *Controller) list(ctx context.Context, now time.Time) {
	if c.Act || c.grant.listing.outstanding || !isDue(now, c.grant.listing.requestedAt, listInterval) {
		return
	}

	c.grant.listing.requestedAt = now
	c.grant.listing.outstanding = true
	c.callList(ctx, c.grant.fence, func([]provider.Instance) {})
}

// callList lists the instances and tells then of them under the same grant.
func (c *Controller) callList(ctx context.Context, fence lease.Fence, onListed func([]provider.Instance)) {
	c.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()

		instances, err := c.Cloud.Instances(callCtx)

		c.mu.Lock()
		defer c.mu.Unlock()

		if c.grant.fence != fence {
			return
		}

		c.grant.listing.outstanding = false

		if err != nil {
			c.counters.cloudErrors.Inc()

			return
		}

		c.grant.listing.known = true
		c.grant.listing.instances = instances

		onListed(instances)
	})
}

func isDue(now, last time.Time, every time.Duration) bool {
	return last.IsZero() || now.Sub(last) >= every
}
