package placement

import "monsoonlever/fleet"

// Holding is what a runner holds: the wanted state of an engine order.
type Holding struct {
	Model   fleet.Model
	Version fleet.ModelVersion
	Adapter string
	Role    string
}
