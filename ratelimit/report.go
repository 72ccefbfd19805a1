package ratelimit

import (
	"monsoonlever/fleet"
	"monsoonlever/register"
)

// ReportKind is what happened to a request at a brittle server.
type ReportKind uint8

// The kinds.
const (
	// Began means that the server has begun to respond.
	Began ReportKind = iota
	// Ended means that the request has left the server, or was not sent.
	Ended
	// Rejected means that the server rejected the request for lack of room.
	Rejected
)

// PermitReport reports to the granters of a brittle server what happened to a request. It is not
// answered.
type PermitReport struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Server   register.Process
	Kind     ReportKind
	// Granter granted the request; it is empty for one without a permit. Level and Probe are those of
	// the permit.
	Granter fleet.InstanceID
	Level   int
	Probe   bool
	// Accepted is set if the server has run the request.
	Accepted bool
	// Requests is the number of requests at the server as its response told, negative if it did not.
	Requests int
	// MaxRejections is how many rejections a second the server bears.
	MaxRejections int
}
