package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// grantState is what this instance knows as the holder of one grant.
type grantState struct {
	fence lease.Fence
	// checkpointSent is when a checkpoint was last appended.
	checkpointSent time.Time
	listing        listing
	// costCountedAt is until when cost was counted.
	costCountedAt time.Time
	rollout       *rollout
	plannedAt     time.Time
	decision      placement.Decision
	// foreign counts the instances that this system did not buy.
	foreign map[fleet.Service]map[placement.Cell]int
	drains  map[fleet.InstanceID]*drain
}

// listing is what the cloud API last said.
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
