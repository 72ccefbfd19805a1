package lease

import "monsoonlever/fleet"

// Action asks the shell to send an order to a target, or to read its state.
type Action[S comparable] struct {
	Target fleet.InstanceID
	// Read is set to read the state; otherwise State is ordered under Fence.
	Read  bool
	State S
	Fence Fence
}
