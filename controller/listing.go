package controller

import (
	"context"
	"time"

	"monsoonlever/lease"
	"monsoonlever/provider"
)

// listEvery is the time between two listings where none is decided.
const listEvery = 5 * time.Second

// list asks the cloud API for its instances. A controller that acts lists by its
// reconciler's commands instead.
func (c *Controller) list(ctx context.Context, now time.Time) {
	if c.Act || c.holding.listing.outstanding || !isDue(now, c.holding.listing.asked, listEvery) {
		return
	}

	c.holding.listing.asked = now
	c.holding.listing.outstanding = true
	c.callList(ctx, c.holding.fence, func([]provider.Instance) {})
}

// callList lists the instances and tells then of them under the same grant.
func (c *Controller) callList(ctx context.Context, fence lease.Fence, then func([]provider.Instance)) {
	c.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()

		instances, err := c.Cloud.Instances(callCtx)

		c.mu.Lock()
		defer c.mu.Unlock()

		if c.holding.fence != fence {
			return
		}

		c.holding.listing.outstanding = false

		if err != nil {
			c.counters.cloudErrors.Inc()

			return
		}

		c.holding.listing.known = true
		c.holding.listing.instances = instances

		then(instances)
	})
}

func isDue(now, last time.Time, every time.Duration) bool {
	return last.IsZero() || now.Sub(last) >= every
}
