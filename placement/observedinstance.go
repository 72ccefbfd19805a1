package placement

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// ObservedInstance is an instance as the controller last saw it, by its token.
type ObservedInstance struct {
	Instance provider.Instance
	// HealthKnown is set once anything is known of its work.
	HealthKnown bool
	// Ready tells whether it serves, and Idle whether it has no work left.
	Ready bool
	Idle  bool
	// Leaving is set once a reclaim was announced.
	Leaving bool
	// DrainSince is when it was first asked to drain, zero before.
	DrainSince time.Time

	releasedAt time.Time
}

// Health is what is known of the work of an instance.
type Health struct {
	Instance fleet.InstanceID
	Ready    bool
	Idle     bool
	Leaving  bool
}
