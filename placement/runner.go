package placement

import "monsoonlever/fleet"

// Runner is the last state that the controller read of one runner.
type Runner struct {
	Instance fleet.InstanceID
	Spec     EngineSpec
	Ready    bool
	Idle     bool
	Leaving  bool
	// Settled reports whether the runner's state was read under the current fencing
	// token, after which the runner rejects orders of earlier holders.
	Settled bool
}
