package placement

import (
	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/lease"
)

// Holding is what a runner holds: the wanted state of an engine order.
type Holding struct {
	Model   fleet.Model
	Version fleet.ModelVersion
	Adapter string
	Role    string
}

// Order returns the engine order for the holding under a fencing number.
func (h Holding) Order(fence lease.Fence) backend.Order {
	return backend.Order{
		Fence:   uint64(fence),
		Model:   h.Model,
		Version: h.Version,
		Adapter: h.Adapter,
		Role:    h.Role,
	}
}

// ReadbackOf returns what a Corrector needs to know of an engine.
func ReadbackOf(s backend.EngineState) lease.Readback[Holding] {
	return lease.Readback[Holding]{
		State:       Holding{Model: s.Model, Version: s.Version, Adapter: s.Adapter, Role: s.Role},
		Fence:       lease.Fence(s.Fence),
		ChecksFence: s.ChecksFence,
	}
}
