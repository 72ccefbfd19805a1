package placement

import (
	"monsoonlever/fleet"
)

// LoadRequest requests permission to load the weights of one runner.
type LoadRequest struct {
	Instance fleet.InstanceID
	Service  fleet.Service
	Priority fleet.Priority
	// Shortage is the fraction of the service's need that its ready runners cannot
	// carry, from 0 to 1.
	Shortage float64
	// Started reports whether the transfer from the store is under way.
	Started bool
}
