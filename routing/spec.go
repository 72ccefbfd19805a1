package routing

import (
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// spec is the slowly changing part of a server; it is replaced as a whole.
type spec struct {
	key      Key
	address  string
	domain   fleet.FailureDomain
	class    provider.Class
	price    float64
	capacity int
	// loading is set while the engine can't serve its model yet.
	loading bool
}
