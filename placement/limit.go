package placement

import "monsoonlever/fleet"

// Limit bounds the instances of one service.
type Limit struct {
	Service fleet.Service
	Max     int
	// Needed is the count without any move to save money. Purchases up to it are
	// made at once, those beyond it count as changes of the hour.
	Needed int
}
