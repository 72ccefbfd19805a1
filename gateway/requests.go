package gateway

import (
	"time"

	"monsoonlever/answer"
	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/manifest"
)

// ModelRequest is an admitted request for a model answer.
type ModelRequest struct {
	Service fleet.Service
	Kind    fleet.CallKind
	Answer  answer.Request
}

// PlainRequest is an admitted call of a plain service.
type PlainRequest struct {
	ID       answer.RequestID
	Account  fleet.Account
	Service  fleet.Service
	Kind     manifest.Call
	Call     backend.Call
	Priority fleet.Priority
	Arrived  time.Time
	Deadline time.Time
}
