package controller

import (
	"context"
	"errors"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// act buys and releases instances to reach the plan. Without a plan under this grant, pending
// purchases and releases are completed and no new ones are started.
func (c *Controller) act(ctx context.Context, v view) {
	h := &c.grant
	c.observeHealth(ctx, v)

	var (
		targets []placement.Target
		limits  []placement.Limit
	)

	if c.reconciler.Synced(h.fence) && !h.plannedAt.IsZero() {
		targets, limits = c.ownPlan(v.now)
	}

	c.actedFence = h.fence

	for _, command := range c.reconciler.Step(v.now, h.fence, targets, limits) {
		c.perform(ctx, v, command)
	}
}

func (c *Controller) perform(ctx context.Context, v view, command placement.Command) {
	switch command := command.(type) {
	case placement.AppendCommand:
		c.append(kindIntent, command.Record)
	case placement.ListCommand:
		c.callList(ctx, c.grant.fence, func(instances []provider.Instance) {
			c.reconciler.ListFinished(command.Number, instances)
		})
	case placement.BuyCommand:
		c.buy(ctx, c.grant.fence, command)
	case placement.DrainCommand:
		c.drain(v.now, command.Instance)
	case placement.ReleaseCommand:
		c.releaseInstance(ctx, c.grant.fence, command.Instance)
	}
}

// buy makes one purchase. If the lease was lost, the call is not made and its outcome is reported as
// unknown, which leaves the purchase open.
func (c *Controller) buy(ctx context.Context, fence lease.Fence, command placement.BuyCommand) {
	c.calls.Go(func() {
		outcome := placement.OutcomeUnknown

		var instance provider.Instance
		if c.mayCall(fence) {
			instance, outcome = c.purchase(ctx, command.Purchase)
		}

		c.mu.Lock()
		defer c.mu.Unlock()

		// The response to a call under an earlier grant does not decide the outcome of a later call.
		if c.actedFence != fence {
			return
		}

		c.reconciler.PurchaseFinished(c.Clock.Now(), command.Token, outcome, instance)

		if outcome == placement.OutcomeRefused {
			// The plan did not know of this refusal; plan again in the next step.
			c.grant.plannedAt = time.Time{}
		}
	})
}

func (c *Controller) purchase(ctx context.Context, p provider.Purchase) (provider.Instance, placement.Outcome) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	instance, err := c.Cloud.Buy(callCtx, p)

	switch {
	case err == nil:
		c.counters.bought.Inc()

		return instance, placement.OutcomeBought
	case errors.Is(err, provider.ErrNoCapacity):
		c.counters.refused.Inc()

		return instance, placement.OutcomeRefused
	default:
		c.counters.unknown.Inc()
		c.counters.cloudErrors.Inc()

		return instance, placement.OutcomeUnknown
	}
}

// releaseInstance releases an instance. The reconciler repeats the release until the instance is
// gone.
func (c *Controller) releaseInstance(ctx context.Context, fence lease.Fence, id fleet.InstanceID) {
	c.calls.Go(func() {
		if !c.mayCall(fence) {
			return
		}

		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()

		c.counters.released.Inc()

		if err := c.Cloud.Release(callCtx, id); err != nil {
			c.counters.cloudErrors.Inc()
		}
	})
}
