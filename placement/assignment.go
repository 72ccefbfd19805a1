package placement

import "monsoonlever/fleet"

// Assignment is what one runner should hold, and whether it gets new work.
type Assignment struct {
	Instance fleet.InstanceID
	Spec     EngineSpec
	Drain    bool
	// Reason says why, for status.
	Reason string
}
