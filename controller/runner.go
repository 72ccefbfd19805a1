package controller

import (
	"cmp"
	"time"

	"monsoonlever/backend"
	"monsoonlever/lease"
	"monsoonlever/placement"
)

const (
	// drainRole is the engine role that is ordered while a runner finishes its requests. No request
	// is routed to an engine in this role.
	drainRole = "drain"
	// drainSettleTime is the time until every entry instance has read that role.
	drainSettleTime = 3 * time.Second
)

// runner is one model engine as the holder last read it.
type runner struct {
	server      Server
	known       bool
	reading     bool
	requestedAt time.Time
	state       backend.EngineState
	// role is the role of the engine before the drain.
	role string
	// drainedAt is when the engine was first read in drainRole.
	drainedAt time.Time
	idle      bool
	// stray is set if the engine holds no model of its service.
	stray bool
	// orderedSpec is the model version that was last assigned.
	orderedSpec placement.EngineSpec
}

// spec returns the model and version that the engine holds.
func (r *runner) spec() placement.EngineSpec {
	return placement.EngineSpec{Model: r.state.Model, Version: r.state.Version}
}

// isReady reports whether the engine serves a model of its service.
func (r *runner) isReady() bool {
	return r.known && r.state.Ready && !r.stray
}

// isLoading reports whether the engine was assigned a version that it does not serve yet. An order
// that was not read back counts as well, so that its load slot is not given to another runner.
func (r *runner) isLoading() bool {
	return r.orderedSpec.Model != "" && (r.orderedSpec != r.spec() || !r.state.Ready)
}

// update stores the state and load that were read from the engine. loadKnown is false if the load
// could not be read.
func (r *runner) update(now time.Time, state backend.EngineState, load backend.LoadReport, loadKnown bool) {
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

	settled := now.Sub(r.drainedAt) >= drainSettleTime && !load.At.Before(r.drainedAt.Add(drainSettleTime))
	r.idle = loadKnown && settled && load.Running+load.Waiting == 0
}

// placement returns the state of the runner as input of a roll-out step.
func (r *runner) placement(c *lease.Corrector[placement.EngineSpec]) placement.Runner {
	return placement.Runner{
		Instance: r.server.ID,
		Spec:     r.spec(),
		Ready:    r.isReady(),
		Idle:     r.idle,
		Leaving:  r.server.Leaving,
		Settled:  c.Settled(r.server.ID),
	}
}

// assign sets the desired state of the engine in the corrector. An engine that was not read gets none,
// since its adapter and role are unknown, and neither does an engine that leaves or that holds no
// model and waits for its turn to load.
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

	if a.Drain && a.Spec == r.spec() {
		wanted.Role = drainRole
	}

	r.orderedSpec = a.Spec
	c.SetDesired(r.server.ID, wanted)
}

func compareRunners(a, b *runner) int {
	return cmp.Compare(a.server.ID, b.server.ID)
}
