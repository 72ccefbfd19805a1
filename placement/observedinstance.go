package placement

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// ObservedInstance is an instance as the controller last observed it.
type ObservedInstance struct {
	Instance provider.Instance
	// HealthKnown is set once the health of the instance was reported.
	HealthKnown bool
	// Ready reports whether the instance serves, and Idle whether it has no work.
	Ready bool
	Idle  bool
	// Leaving is set once a reclaim was announced.
	Leaving bool
	// DrainSince is when the instance was first asked to drain, or zero.
	DrainSince time.Time

	releasedAt time.Time
}

// Health is the reported health of an instance.
type Health struct {
	Instance fleet.InstanceID
	Ready    bool
	Idle     bool
	Leaving  bool
}
