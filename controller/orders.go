package controller

import (
	"context"
	"errors"

	"monsoonlever/backend"
	"monsoonlever/lease"
	"monsoonlever/placement"
)

// rollOut moves the runners to the versions of the manifest.
func (c *Controller) rollOut(ctx context.Context, v view) {
	if !v.listed {
		return
	}

	r := c.holding.rollout
	r.update(v)
	r.lines = nil
	clear(r.surge)

	for _, s := range v.manifest.Services() {
		for _, name := range s.Models() {
			if model, ok := v.manifest.Model(name); ok {
				r.decide(v.now, v.manifest, s, model)
			}
		}
	}

	for _, one := range r.runners {
		if !one.known && isDue(v.now, one.askedAt, readEvery) {
			c.read(ctx, one)
		}
	}

	for _, action := range r.corrector.Step(v.now, c.holding.fence) {
		one, ok := r.runners[action.Target]

		switch {
		case !ok:
		case action.Read:
			c.read(ctx, one)
		default:
			c.order(ctx, one.server, action)
		}
	}
}

// read reads an engine and its load.
func (c *Controller) read(ctx context.Context, one *runner) {
	if one.reading {
		return
	}

	one.reading = true
	one.askedAt = c.Clock.Now()
	client := one.server.Client
	id := one.server.ID
	corrector := c.holding.rollout.corrector

	c.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()

		state, err := client.State(callCtx)
		load, loadErr := client.Load(callCtx)

		c.mu.Lock()
		defer c.mu.Unlock()

		one.reading = false

		if err != nil {
			return
		}

		one.take(c.Clock.Now(), state, load, loadErr == nil)
		corrector.Observe(id, placement.EngineReadback(state))
	})
}

// order gives one order, unless the lease is gone at that moment.
func (c *Controller) order(ctx context.Context, s Server, a lease.Action[placement.EngineSpec]) {
	corrector := c.holding.rollout.corrector

	c.calls.Go(func() {
		certain := true

		if c.mayCall(a.Fence) {
			certain = c.send(ctx, s, a)
		}

		c.mu.Lock()
		defer c.mu.Unlock()

		corrector.OrderFinished(c.Clock.Now(), a.Target, certain)
	})
}

// send tells whether it is certain what became of the order.
func (c *Controller) send(ctx context.Context, s Server, a lease.Action[placement.EngineSpec]) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	c.counters.orders.Inc()

	err := s.Client.Order(callCtx, a.State.Order(a.Fence))
	if err == nil {
		return true
	}

	c.counters.orderErrors.Inc()

	return errors.Is(err, backend.ErrStaleFence) || errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrRefused)
}
