package membership

import "monsoonlever/fleet"

// Identity holds the ID and the location of a node.
type Identity struct {
	// ID is the instance ID.
	ID fleet.InstanceID
	// Incarnation identifies the process; each process started with the same ID
	// has a greater one than the process before.
	Incarnation fleet.Incarnation
	// Region is the instance's region.
	Region fleet.Region
	// Domain is the instance's failure domain.
	Domain fleet.FailureDomain
	// Address is the peer address that other members send to.
	Address string
}
