package controller

import (
	"cmp"
	"time"

	"monsoonlever/backend"
	"monsoonlever/lease"
	"monsoonlever/placement"
)

const (
	// drainRole is the role that a runner is ordered to while it finishes its
	// work. No request is routed to an engine of that role.
	drainRole = "drain"
	// drainSettle is the time until every entry instance has read that role.
	drainSettle = 3 * time.Second
)

// runner is one model engine as the holder last read it.
type runner struct {
	server  Server
	known   bool
	reading bool
	askedAt time.Time
	state   backend.EngineState
	// role is what the engine had before it was drained.
	role string
	// drainedAt is when the engine was first read at the drain role.
	drainedAt time.Time
	idle      bool
	// stray is set on an engine that holds no model of its service.
	stray bool
	// ordered is the version that was last asked for.
	ordered placement.EngineSpec
}

// holding returns the model and version that the engine holds.
func (r *runner) holding() placement.EngineSpec {
	return placement.EngineSpec{Model: r.state.Model, Version: r.state.Version}
}

// isReady tells whether the engine serves a model of its service.
func (r *runner) isReady() bool {
	return r.known && r.state.Ready && !r.stray
}

// isLoading tells whether the engine was ordered to load and is not done. An order
// that was not read back yet counts, so that its turn is not given to another.
func (r *runner) isLoading() bool {
	return r.ordered.Model != "" && (r.ordered != r.holding() || !r.state.Ready)
}

// take takes in what was read from the engine and of its load.
func (r *runner) take(now time.Time, state backend.EngineState, load backend.LoadReport, loaded bool) {
	r.known = true
	r.state = state

	if state.Role != drainRole {
		r.role = state.Role
		r.drainedAt = time.Time{}
		r.idle = false

		return
	}

	if r.drainedAt.IsZero() {
		r.drainedAt = now
	}

	settled := now.Sub(r.drainedAt) >= drainSettle && !load.At.Before(r.drainedAt.Add(drainSettle))
	r.idle = loaded && settled && load.Running+load.Waiting == 0
}

// placement returns the runner as a roll-out needs it.
func (r *runner) placement(c *lease.Corrector[placement.EngineSpec]) placement.Runner {
	return placement.Runner{
		Instance: r.server.ID,
		Spec:     r.holding(),
		Ready:    r.isReady(),
		Idle:     r.idle,
		Leaving:  r.server.Leaving,
		Settled:  c.Settled(r.server.ID),
	}
}

// assign tells the corrector what the engine should hold. One that was not read
// is left alone, since its adapter and role are not known, and so is one that
// holds nothing and waits for its turn to load.
func (r *runner) assign(a placement.Assignment, c *lease.Corrector[placement.EngineSpec]) {
	if !r.known || r.server.Leaving || a.Spec.Model == "" {
		c.Remove(r.server.ID)

		return
	}

	wanted := a.Spec
	wanted.Role = r.role

	if wanted.Model == r.state.Model {
		wanted.Adapter = r.state.Adapter
	}

	if a.Drain && a.Spec == r.holding() {
		wanted.Role = drainRole
	}

	r.ordered = a.Spec
	c.SetDesired(r.server.ID, wanted)
}

func compareRunners(a, b *runner) int {
	return cmp.Compare(a.server.ID, b.server.ID)
}
