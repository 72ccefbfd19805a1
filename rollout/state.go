package rollout

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Phase is how far a roll-out is.
type Phase uint8

// The phases. A later one is never followed by an earlier one of the same order.
const (
	// Trial gives the new version a share of the requests.
	Trial Phase = iota
	// Completed gives it all; the old servers stop at once.
	Completed
	// Reverted gives it none; its servers go.
	Reverted
)

// String returns the phase as it stands in logs.
func (p Phase) String() string {
	return [...]string{"trial", "completed", "reverted"}[min(p, Reverted)]
}

// State is what the holder of the duty has decided on an order. It travels between
// instances and stands in their records.
type State struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Target   fleet.Version
	Place    uint64
	Phase    Phase
	// Fence and Step order the messages of all holders on one order.
	Fence uint64
	Step  uint32
	// Share is the part of the requests that the new version gets.
	Share float64
	// Avoid are versions that get nothing: those that were reverted or given up before, and
	// once the roll-out is completed those that it replaced.
	Avoid []fleet.Version
	// Elapsed is how long ago the order was first seen when this was decided. Times of day
	// differ between instances.
	Elapsed time.Duration
	// Reached and Exposed are the requests that the service and the new version got until
	// then, so that the next holder counts on.
	Reached, Exposed uint64
	// ReachedBefore and ExposedBefore are those that were counted under another place of the
	// order.
	ReachedBefore, ExposedBefore uint64
}

// Replaces tells whether a state takes the place of another one of the same service.
func (s State) Replaces(other State) bool {
	if s.Place != other.Place {
		return s.Place > other.Place
	}

	if s.Phase != other.Phase {
		return s.Phase > other.Phase
	}

	if s.Fence != other.Fence {
		return s.Fence > other.Fence
	}

	return s.Step > other.Step
}

// maxAvoidedVersions bounds the versions that are remembered as getting nothing: servers of older ones
// are long gone.
const maxAvoidedVersions = 8

// addVersions adds versions to those that get nothing, the newest last.
func addVersions(versions []fleet.Version, more ...fleet.Version) []fleet.Version {
	all := slices.Clone(versions)

	for _, v := range more {
		if !slices.Contains(all, v) {
			all = append(all, v)
		}
	}

	return all[max(len(all)-maxAvoidedVersions, 0):]
}

// removeVersion takes a version out of those that get nothing.
func removeVersion(versions []fleet.Version, version fleet.Version) []fleet.Version {
	return slices.DeleteFunc(slices.Clone(versions), func(v fleet.Version) bool { return v == version })
}
