package placement

import "monsoonlever/fleet"

// Runner is what the controller last read of one runner of a service.
type Runner struct {
	Instance fleet.InstanceID
	Spec     EngineSpec
	Ready    bool
	Idle     bool
	Leaving  bool
	// Settled tells whether the runner was read back under the present fencing
	// number, so that it takes no order of an older holder.
	Settled bool
}
