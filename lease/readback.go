package lease

// Readback is the state that the caller read from a target.
type Readback[S comparable] struct {
	State S
	Fence Fence
	// ChecksFence reports whether the target refuses orders with an old fencing token.
	ChecksFence bool
}
