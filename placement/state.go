package placement

import "monsoonlever/provider"

// State is the input of Plan.
type State struct {
	Config   Config
	Services []ServiceState
	Offers   []provider.Offer
	// Refusals and Reclaims are penalties by cell; either may be nil.
	Refusals *CellPenalties
	Reclaims *CellPenalties
}

// ServiceState is one service with its load and current instances.
type ServiceState struct {
	Service  Service
	Forecast Forecast
	// InstanceCounts counts the instances of each cell that are bought or about to be,
	// without those that leave or are retired.
	InstanceCounts map[Cell]int
	// Surge is the number of extra instances wanted, such as during a rollout on
	// a service with one runner.
	Surge int
}
