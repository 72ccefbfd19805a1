package evacuation

import (
	"monsoonlever/backend"
	"monsoonlever/fleet"
)

// Stream is an answer that runs on a server that is leaving.
type Stream struct {
	Attempt  backend.AttemptID
	Server   fleet.InstanceID
	Model    fleet.Model
	Priority fleet.Priority
	// Tokens counts the tokens of prompt and answer whose cache would be lost.
	Tokens int
}
