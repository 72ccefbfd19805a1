package routing

import (
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// spec is the part of the state of a server that rarely changes. A change replaces it
// as a whole.
type spec struct {
	key      Key
	address  string
	domain   fleet.FailureDomain
	class    provider.Class
	price    float64
	capacity int
	// loading is set while the engine isn't ready to serve its model.
	loading bool
}
