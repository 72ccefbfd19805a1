package placement

import "monsoonlever/fleet"

// Limit bounds the instances of one service.
type Limit struct {
	Service fleet.Service
	Max     int
	// Needed is the count without moves to save money. Purchases up to it are
	// made immediately; those beyond it count against ChangesPerHour.
	Needed int
}
