package peer

import "monsoonlever/fleet"

// Sender identifies the verified remote of a connection. Its certificate proves
// the instance ID; the other values are those of its hello.
type Sender struct {
	id          fleet.InstanceID
	incarnation fleet.Incarnation
	domain      fleet.FailureDomain
	address     string
}

// ID returns the instance ID, which the remote's certificate proves.
func (s Sender) ID() fleet.InstanceID {
	return s.id
}

// Incarnation returns the incarnation in the remote's hello.
func (s Sender) Incarnation() fleet.Incarnation {
	return s.incarnation
}

// Domain returns the failure domain in the remote's hello.
func (s Sender) Domain() fleet.FailureDomain {
	return s.domain
}

// Address returns the host:port at which the remote accepts connections.
func (s Sender) Address() string {
	return s.address
}

// Target returns the target for messages to this sender.
func (s Sender) Target() Target {
	return Target{ID: s.id, Address: s.address}
}
