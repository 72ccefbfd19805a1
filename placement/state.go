package placement

import "monsoonlever/provider"

// State is what a plan is made from.
type State struct {
	Config   Config
	Services []ServiceState
	Offers   []provider.Offer
	// Refusals and Reclaims are remembered by cell; either may be nil.
	Refusals *CellPenalties
	Reclaims *CellPenalties
}

// ServiceState is one service with its load and what it has.
type ServiceState struct {
	Service  Service
	Forecast Forecast
	// InstanceCounts counts the instances of each cell that are bought or about to be,
	// without those that leave or are retired.
	InstanceCounts map[Cell]int
	// Surge asks for that many instances more, as while a version is rolled out
	// on a service with one runner.
	Surge int
}
