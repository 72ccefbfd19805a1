package membership

import "monsoonlever/fleet"

// Destination says where a message goes.
type Destination struct {
	id      fleet.InstanceID
	address string
}

// ID returns the instance that must receive the message; empty for a seed.
func (d Destination) ID() fleet.InstanceID {
	return d.id
}

// Address returns the address to send to.
func (d Destination) Address() string {
	return d.address
}

// Outgoing is a message to send.
type Outgoing struct {
	to      Destination
	message Message
}

// To returns where the message goes.
func (o Outgoing) To() Destination {
	return o.to
}

// Message returns the message.
func (o Outgoing) Message() Message {
	return o.message
}

// Change is a difference in what is known of one member.
type Change struct {
	before *Member
	after  *Member
}

// Before returns the member before the change; nil for one that was unknown.
func (c Change) Before() *Member {
	return c.before
}

// After returns the member after the change; nil for one that was forgotten.
func (c Change) After() *Member {
	return c.after
}

// Step is what one event led to.
type Step struct {
	messages []Outgoing
	changes  []Change
}

// Messages returns the messages to send, in order.
func (s Step) Messages() []Outgoing {
	return s.messages
}

// Changes returns the changes of the member list, in order.
func (s Step) Changes() []Change {
	return s.changes
}

// Source says who sent a message; the transport has verified it.
type Source struct {
	// ID is the sender's instance ID.
	ID fleet.InstanceID
	// Incarnation is the sender's incarnation.
	Incarnation fleet.Incarnation
	// Address is where the sender is reached.
	Address string
}
