package lease

// Readback is the state that was read from a target.
type Readback[S comparable] struct {
	State S
	Fence Fence
	// ChecksFence tells whether the target refuses orders with an old fence.
	ChecksFence bool
}
