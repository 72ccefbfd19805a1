package controller

import (
	"context"
	"time"

	"monsoonlever/lease"
	"monsoonlever/provider"
)

// listInterval is the time between two listings of a controller that only observes.
const listInterval = 5 * time.Second

// list lists the instances for a controller without Act. With Act, the list commands of the
// reconciler are used instead.
func (c *Controller) list(ctx context.Context, now time.Time) {
	if c.Act || c.grant.listing.outstanding || !isDue(now, c.grant.listing.requestedAt, listInterval) {
		return
	}

	c.grant.listing.requestedAt = now
	c.grant.listing.outstanding = true
	c.callList(ctx, c.grant.fence, func([]provider.Instance) {})
}

// callList lists the instances and calls onListed if the list arrives under the same grant.
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
