package membership

import "monsoonlever/fleet"

// Destination is the receiver of a message.
type Destination struct {
	id      fleet.InstanceID
	address string
}

// ID returns the ID of the receiving instance; empty for a seed, whose ID is not
// known.
func (d Destination) ID() fleet.InstanceID {
	return d.id
}

// Address returns the peer address of the receiver.
func (d Destination) Address() string {
	return d.address
}

// Outgoing is a message to send.
type Outgoing struct {
	to      Destination
	message Message
}

// To returns the receiver of the message.
func (o Outgoing) To() Destination {
	return o.to
}

// Message returns the message.
func (o Outgoing) Message() Message {
	return o.message
}

// Change is a change of one member in the table.
type Change struct {
	before *Member
	after  *Member
}

// Before returns the member before the change; nil if it was added.
func (c Change) Before() *Member {
	return c.before
}

// After returns the member after the change; nil if it was evicted.
func (c Change) After() *Member {
	return c.after
}

// Step holds the messages and changes that result from one event.
type Step struct {
	messages []Outgoing
	changes  []Change
}

// Messages returns the messages to send, in order.
func (s Step) Messages() []Outgoing {
	return s.messages
}

// Changes returns the changes of the member list in order.
func (s Step) Changes() []Change {
	return s.changes
}

// Source identifies the sender of a message, as verified by the transport.
type Source struct {
	// ID is the sender's instance ID.
	ID fleet.InstanceID
	// Incarnation is the sender's incarnation.
	Incarnation fleet.Incarnation
	// Address is the sender's peer address.
	Address string
}
