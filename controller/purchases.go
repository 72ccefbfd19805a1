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

// act makes the plan true by purchases and releases. Without a plan under this
// grant what is under way is finished and nothing new is decided.
func (c *Controller) act(ctx context.Context, v view) {
	h := &c.holding
	c.observeHealth(ctx, v)

	var (
		targets []placement.Target
		limits  []placement.Limit
	)

	if c.reconciler.Synced(h.fence) && !h.plannedAt.IsZero() {
		targets, limits = c.ownPart(v.now)
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
		c.callList(ctx, c.holding.fence, func(instances []provider.Instance) {
			c.reconciler.ListFinished(command.Number, instances)
		})
	case placement.BuyCommand:
		c.buy(ctx, c.holding.fence, command)
	case placement.DrainCommand:
		c.drain(v.now, command.Instance)
	case placement.ReleaseCommand:
		c.giveBack(ctx, c.holding.fence, command.Instance)
	}
}

// buy makes one purchase. Where the lease is gone the call is not made; it is
// then told as unknown, which settles nothing.
func (c *Controller) buy(ctx context.Context, fence lease.Fence, command placement.BuyCommand) {
	c.calls.Go(func() {
		outcome := placement.OutcomeUnknown

		var instance provider.Instance
		if c.mayCall(fence) {
			instance, outcome = c.purchase(ctx, command.Purchase)
		}

		c.mu.Lock()
		defer c.mu.Unlock()

		// An answer to a call of an earlier grant says nothing of a later call.
		if c.actedFence != fence {
			return
		}

		c.reconciler.PurchaseFinished(c.Clock.Now(), command.Token, outcome, instance)

		if outcome == placement.OutcomeRefused {
			// The plan was made without knowing of it.
			c.holding.plannedAt = time.Time{}
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

// giveBack releases an instance. It is asked for again until it is gone.
func (c *Controller) giveBack(ctx context.Context, fence lease.Fence, id fleet.InstanceID) {
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
