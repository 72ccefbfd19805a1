package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// holding is what this instance knows as the holder of one grant.
type holding struct {
	fence lease.Fence
	// checkpointSent is when a checkpoint was last appended.
	checkpointSent time.Time
	listing        listing
	// countedAt is until when cost was counted.
	countedAt time.Time
	rollout   *rollout
	plannedAt time.Time
	decision  placement.Decision
	// foreign counts the instances that this system did not buy.
	foreign map[fleet.Service]map[placement.Cell]int
	drains  map[fleet.InstanceID]*drain
}

// listing is what the cloud API last said.
type listing struct {
	asked       time.Time
	outstanding bool
	known       bool
	instances   []provider.Instance
}

func newHolding(fence lease.Fence) holding {
	return holding{
		fence:   fence,
		rollout: newRollout(),
		drains:  make(map[fleet.InstanceID]*drain),
	}
}
