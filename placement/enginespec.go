package placement

import (
	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/lease"
)

// EngineSpec is the model, version, adapter and role that a runner loads.
type EngineSpec struct {
	Model   fleet.Model
	Version fleet.ModelVersion
	Adapter string
	Role    string
}

// Order returns the engine order for the spec under a fencing token.
func (h EngineSpec) Order(fence lease.Fence) backend.Order {
	return backend.Order{
		Fence:   uint64(fence),
		Model:   h.Model,
		Version: h.Version,
		Adapter: h.Adapter,
		Role:    h.Role,
	}
}

// EngineReadback converts the state reported by an engine for a lease.Corrector.
func EngineReadback(s backend.EngineState) lease.Readback[EngineSpec] {
	return lease.Readback[EngineSpec]{
		State:       EngineSpec{Model: s.Model, Version: s.Version, Adapter: s.Adapter, Role: s.Role},
		Fence:       lease.Fence(s.Fence),
		ChecksFence: s.ChecksFence,
	}
}
