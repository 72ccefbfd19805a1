package controller

import (
	"context"
	"errors"

	"monsoonlever/backend"
	"monsoonlever/lease"
	"monsoonlever/placement"
)

// rollOut moves the runners to the model versions of the manifest.
func (c *Controller) rollOut(ctx context.Context, v view) {
	if !v.listed {
		return
	}

	r := c.grant.rollout
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

	for _, engine := range r.runners {
		if !engine.known && isDue(v.now, engine.requestedAt, readInterval) {
			c.read(ctx, engine)
		}
	}

	for _, action := range r.corrector.Step(v.now, c.grant.fence) {
		engine, ok := r.runners[action.Target]

		switch {
		case !ok:
		case action.Read:
			c.read(ctx, engine)
		default:
			c.order(ctx, engine.server, action)
		}
	}
}

// read reads the state and the load of an engine.
func (c *Controller) read(ctx context.Context, engine *runner) {
	if engine.reading {
		return
	}

	engine.reading = true
	engine.requestedAt = c.Clock.Now()
	client := engine.server.Client
	id := engine.server.ID
	corrector := c.grant.rollout.corrector

	c.calls.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()

		state, err := client.State(callCtx)
		load, loadErr := client.Load(callCtx)

		c.mu.Lock()
		defer c.mu.Unlock()

		engine.reading = false

		if err != nil {
			return
		}

		engine.update(c.Clock.Now(), state, load, loadErr == nil)
		corrector.Observe(id, placement.EngineReadback(state))
	})
}

// order sends one order if the lease is still held.
func (c *Controller) order(ctx context.Context, s Server, a lease.Action[placement.EngineSpec]) {
	corrector := c.grant.rollout.corrector

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

// send sends an order and reports whether its outcome is certain: it took effect, or it was not
// sent or rejected and will never take effect.
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
