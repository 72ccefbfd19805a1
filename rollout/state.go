package rollout

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Phase is the phase of a roll-out.
type Phase uint8

// The phases. Within an order, the phase never decreases.
const (
	// Trial sends a share of the requests to the new version.
	Trial Phase = iota
	// Completed sends all requests to the new version; the old servers receive none from then
	// on.
	Completed
	// Reverted sends no requests to the new version; its servers are removed.
	Reverted
)

// String returns the phase as logged.
func (p Phase) String() string {
	return [...]string{"trial", "completed", "reverted"}[min(p, Reverted)]
}

// State is the duty holder's decision on an order. Instances exchange it and store it in their
// records.
type State struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Service  fleet.Service
	Target   fleet.Version
	Place    uint64
	Phase    Phase
	// Fence and Step order the messages of all holders on one order.
	Fence uint64
	Step  uint32
	// Share is the share of the requests that the new version receives.
	Share float64
	// Avoid lists versions that receive no requests: those reverted or abandoned earlier and,
	// once the roll-out is completed, those that it replaced.
	Avoid []fleet.Version
	// Elapsed is the time from when the order was first seen to this decision. It is a
	// duration because clocks differ between instances.
	Elapsed time.Duration
	// Reached and Exposed count the requests of the service and of the new version until the
	// decision, so that the next holder continues from them.
	Reached, Exposed uint64
	// ReachedBefore and ExposedBefore are the requests counted under an earlier place of the
	// same order.
	ReachedBefore, ExposedBefore uint64
}

// Replaces reports whether s supersedes another state of the same service.
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

// maxAvoidedVersions bounds the list of avoided versions; no servers of older versions remain.
const maxAvoidedVersions = 8

// addVersions appends versions that are not in the list yet, and drops the oldest entries
// above maxAvoidedVersions.
func addVersions(versions []fleet.Version, more ...fleet.Version) []fleet.Version {
	all := slices.Clone(versions)

	for _, v := range more {
		if !slices.Contains(all, v) {
			all = append(all, v)
		}
	}

	return all[max(len(all)-maxAvoidedVersions, 0):]
}

// removeVersion returns the list without a version.
func removeVersion(versions []fleet.Version, version fleet.Version) []fleet.Version {
	return slices.DeleteFunc(slices.Clone(versions), func(v fleet.Version) bool { return v == version })
}
