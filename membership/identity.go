package membership

import "monsoonlever/fleet"

// Identity says who and where the node of a Core is.
type Identity struct {
	// ID names the instance.
	ID fleet.InstanceID
	// Incarnation is greater at each start of a process with this ID.
	Incarnation fleet.Incarnation
	// Region is the instance's region.
	Region fleet.Region
	// Domain is the instance's failure domain.
	Domain fleet.FailureDomain
	// Address is where other members reach the instance.
	Address string
}
