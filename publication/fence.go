package publication

import "monsoonlever/provider"

// Fence gives the manifest in force a new version. Every record that was derived
// from the old version and is still on its way has no effect when it arrives.
type Fence struct {
	ID ID `msgpack:"id"`
	// DerivedFrom is the version that must be in force, 0 for none.
	DerivedFrom provider.Offset `msgpack:"derivedFrom"`
}

func (Fence) kind() recordKind { return kindFence }
