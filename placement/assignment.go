package placement

import "monsoonlever/fleet"

// Assignment is the engine spec that one runner should load, and whether the runner
// is drained.
type Assignment struct {
	Instance fleet.InstanceID
	Spec     EngineSpec
	Drain    bool
	// Reason explains the assignment on the status page.
	Reason string
}
