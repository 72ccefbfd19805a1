package placement

import "monsoonlever/fleet"

// Target is how many instances a service should have in one cell.
type Target struct {
	Service fleet.Service
	Cell    Cell
	Count   int
}
