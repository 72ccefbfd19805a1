package answer

import "monsoonlever/fleet"

// Epoch is one ownership of a request. Each takeover has a greater number.
type Epoch struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec looks for it by name

	Number      uint64            `msgpack:"number"`
	Owner       fleet.InstanceID  `msgpack:"owner"`
	Incarnation fleet.Incarnation `msgpack:"incarnation"`
}

// Newer tells whether e supersedes other. Two takeovers with one number are
// told apart by their owners, so that every instance prefers the same one.
func (e Epoch) Newer(other Epoch) bool {
	if e.Number != other.Number {
		return e.Number > other.Number
	}

	if e.Owner != other.Owner {
		return e.Owner < other.Owner
	}

	return e.Incarnation > other.Incarnation
}
