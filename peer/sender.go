package peer

import "monsoonlever/fleet"

// Sender is the verified remote of a connection.
type Sender struct {
	id          fleet.InstanceID
	incarnation fleet.Incarnation
	domain      fleet.FailureDomain
	address     string
}

// ID returns the instance ID, which the certificate has proved.
func (s Sender) ID() fleet.InstanceID {
	return s.id
}

// Incarnation returns the incarnation that the remote's hello gave.
func (s Sender) Incarnation() fleet.Incarnation {
	return s.incarnation
}

// Domain returns the remote's failure domain.
func (s Sender) Domain() fleet.FailureDomain {
	return s.domain
}

// Address returns the address at which the remote takes connections.
func (s Sender) Address() string {
	return s.address
}

// Target returns the target that answers this sender.
func (s Sender) Target() Target {
	return Target{ID: s.id, Address: s.address}
}
