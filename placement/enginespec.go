package placement

import (
	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/lease"
)

// EngineSpec is what a runner holds: the wanted state of an engine order.
type EngineSpec struct {
	Model   fleet.Model
	Version fleet.ModelVersion
	Adapter string
	Role    string
}

// Order returns the engine order for the holding under a fencing number.
func (h EngineSpec) Order(fence lease.Fence) backend.Order {
	return backend.Order{
		Fence:   uint64(fence),
		Model:   h.Model,
		Version: h.Version,
		Adapter: h.Adapter,
		Role:    h.Role,
	}
}

// EngineReadback returns what a Corrector needs to know of an engine.
func EngineReadback(s backend.EngineState) lease.Readback[EngineSpec] {
	return lease.Readback[EngineSpec]{
		State:       EngineSpec{Model: s.Model, Version: s.Version, Adapter: s.Adapter, Role: s.Role},
		Fence:       lease.Fence(s.Fence),
		ChecksFence: s.ChecksFence,
	}
}
