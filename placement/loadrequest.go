package placement

import (
	"monsoonlever/fleet"
)

// LoadRequest asks for the weights of one runner.
type LoadRequest struct {
	Instance fleet.InstanceID
	Service  fleet.Service
	Priority fleet.Priority
	// Shortage is the share of the service's need that its ready runners do not
	// carry, from 0 to 1.
	Shortage float64
	// Started tells whether the store sends already.
	Started bool
}
