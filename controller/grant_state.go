package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// grantState is the state of the controller under one grant of the lease.
type grantState struct {
	fence lease.Fence
	// checkpointSent is when a checkpoint was last appended.
	checkpointSent time.Time
	listing        listing
	// costCountedAt is the time up to which cost is recorded.
	costCountedAt time.Time
	rollout       *rollout
	plannedAt     time.Time
	decision      placement.Decision
	// foreign counts the instances that this controller did not buy.
	foreign map[fleet.Service]map[placement.Cell]int
	drains  map[fleet.InstanceID]*drain
}

// listing is the last instance list of the cloud API.
type listing struct {
	requestedAt time.Time
	outstanding bool
	known       bool
	instances   []provider.Instance
}

func newGrantState(fence lease.Fence) grantState {
	return grantState{
		fence:   fence,
		rollout: newRollout(),
		drains:  make(map[fleet.InstanceID]*drain),
	}
}
