package answer

import (
	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Begin gives a copy all that an owner holds of a request.
type Begin struct {
	Request Request            `msgpack:"request"`
	Epoch   Epoch              `msgpack:"epoch"`
	Holders []fleet.InstanceID `msgpack:"holders"`
	Tokens  []string           `msgpack:"tokens,omitempty"`
	Visible int                `msgpack:"visible"`
	End     *Ending            `msgpack:"end,omitempty"`
}

// Append gives a copy the next tokens. Visible is the offset up to which a
// caller may have seen the answer.
type Append struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec looks for it by name

	ID      RequestID `msgpack:"id"`
	Epoch   Epoch     `msgpack:"epoch"`
	Offset  int       `msgpack:"offset"`
	Tokens  []string  `msgpack:"tokens,omitempty"`
	Visible int       `msgpack:"visible"`
	End     *Ending   `msgpack:"end,omitempty"`
}

// Ending is the end of a request: a finish or a refusal.
type Ending struct {
	// Tokens counts the tokens of the whole answer.
	Tokens  int           `msgpack:"tokens"`
	Finish  string        `msgpack:"finish,omitempty"`
	Usage   backend.Usage `msgpack:"usage"`
	Refusal *GiveUp       `msgpack:"refusal,omitempty"`
}

// Holders tells the copies of a request which instances hold one, in the order
// in which they would take over.
type Holders struct {
	ID      RequestID          `msgpack:"id"`
	Epoch   Epoch              `msgpack:"epoch"`
	Holders []fleet.InstanceID `msgpack:"holders"`
}

// HandOff asks a copy to take over from an owner that is leaving.
type HandOff struct {
	ID    RequestID `msgpack:"id"`
	Epoch Epoch     `msgpack:"epoch"`
}

// Ack tells the owner what a copy holds.
type Ack struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // the codec looks for it by name

	ID     RequestID `msgpack:"id"`
	Epoch  Epoch     `msgpack:"epoch"`
	Begun  bool      `msgpack:"begun"`
	Offset int       `msgpack:"offset"`
	Ended  bool      `msgpack:"ended,omitempty"`
	// Probe asks for an answer though nothing came: the copy has not heard
	// from the owner for long.
	Probe bool `msgpack:"probe,omitempty"`
}

// Superseded tells an owner that there is a newer one.
type Superseded struct {
	ID    RequestID `msgpack:"id"`
	Epoch Epoch     `msgpack:"epoch"`
}

// Followed tells the owner of an answer that a caller reads it elsewhere.
type Followed struct {
	ID RequestID `msgpack:"id"`
}

// Fetch asks an instance for what follows after an event id.
type Fetch struct {
	Account fleet.Account `msgpack:"account"`
	After   string        `msgpack:"after"`
}

// Fetched is the reply to Fetch. Account and After are those of the question.
type Fetched struct {
	Account fleet.Account `msgpack:"account"`
	After   string        `msgpack:"after"`
	State   ReadState     `msgpack:"state"`
	Tokens  []string      `msgpack:"tokens,omitempty"`
	End     *Ending       `msgpack:"end,omitempty"`
}

// Batch is what travels between two entry instances in one frame. Its fields
// are taken in their order.
type Batch struct {
	From       fleet.InstanceID `msgpack:"from"`
	Begins     []Begin          `msgpack:"begins,omitempty"`
	Appends    []Append         `msgpack:"appends,omitempty"`
	Holders    []Holders        `msgpack:"holders,omitempty"`
	HandOffs   []HandOff        `msgpack:"handOffs,omitempty"`
	Superseded []Superseded     `msgpack:"superseded,omitempty"`
	Acks       []Ack            `msgpack:"acks,omitempty"`
	Fetches    []Fetch          `msgpack:"fetches,omitempty"`
	Fetched    []Fetched        `msgpack:"fetched,omitempty"`
	Followed   []Followed       `msgpack:"followed,omitempty"`
}
