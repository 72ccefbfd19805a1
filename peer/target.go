package peer

import "monsoonlever/fleet"

// Target is the destination of a message.
type Target struct {
	// ID is the instance expected at the address. It is empty if any instance
	// is accepted, such as for a seed of which only the address is known.
	ID fleet.InstanceID
	// Address is the remote's advertised host:port.
	Address string
}
