package lease

import "monsoonlever/fleet"

// Action asks the caller to send an order to a target or to read the target's state.
type Action[S comparable] struct {
	Target fleet.InstanceID
	// Read requests a read of the state. If it is false, the caller sends an order for State
	// with Fence.
	Read  bool
	State S
	Fence Fence
}
