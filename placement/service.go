package placement

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Service describes one service to the planner.
type Service struct {
	Name     fleet.Service
	Priority fleet.Priority
	// Spec is the spec that each runner of the service should load; empty for a plain
	// service.
	Spec EngineSpec
	// Capacity is the load that one instance of a class carries at the latency target.
	Capacity map[provider.Class]Load
	// UrgentShare is the fraction of the load that cannot wait until a lost
	// failure domain is replaced. The remaining instances must carry it.
	UrgentShare float64
	// Min and Max bound the number of instances. Min of 2 or more keeps the
	// service in at least two failure domains.
	Min int
	Max int
	// StartTime is the time from the purchase to readiness, without loading weights.
	StartTime time.Duration
	// LoadTime is the time to load the weights at the full rate of the store.
	LoadTime time.Duration
}

// LeadTime is the time from the purchase of an instance until it is ready.
func (s Service) LeadTime() time.Duration {
	return s.StartTime + s.LoadTime
}
