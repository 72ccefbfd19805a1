package answer

import (
	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// EngineSource finds the model engine on a backend server.
type EngineSource interface {
	Engine(id fleet.InstanceID) (backend.Engine, bool)
	// Address returns the address under which other engines reach it.
	Address(id fleet.InstanceID) (string, bool)
}
