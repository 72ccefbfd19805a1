package peer

import "monsoonlever/fleet"

// Target says where a message goes.
type Target struct {
	// ID is the instance that must be found at the address; empty for any,
	// as when a seed is known by its address only.
	ID fleet.InstanceID
	// Address is the remote's advertised host:port.
	Address string
}
