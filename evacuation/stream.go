package evacuation

import (
	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Stream is an answer in progress on a leaving server.
type Stream struct {
	Attempt  backend.AttemptID
	Server   fleet.InstanceID
	Model    fleet.Model
	Priority fleet.Priority
	// Tokens is the number of prompt and answer tokens in the KV cache.
	Tokens int
}
