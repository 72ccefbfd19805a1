package placement

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Service is what the planner needs to know of one service.
type Service struct {
	Name     fleet.Service
	Priority fleet.Priority
	// Spec is what each runner of the service should hold; empty for a plain
	// service.
	Spec EngineSpec
	// Capacity is what one instance of a class carries at the latency target.
	Capacity map[provider.Class]Load
	// UrgentShare is the share of the load that cannot wait until a lost
	// failure domain is replaced. That share must fit into what remains.
	UrgentShare float64
	// Min and Max bound the number of instances. Min of 2 or more keeps the
	// service in at least two failure domains.
	Min int
	Max int
	// StartTime is from the purchase to readiness, without the weights.
	StartTime time.Duration
	// LoadTime is to take the weights at the whole rate of the store.
	LoadTime time.Duration
}

// LeadTime is the time from the purchase of an instance until it serves.
func (s Service) LeadTime() time.Duration {
	return s.StartTime + s.LoadTime
}
