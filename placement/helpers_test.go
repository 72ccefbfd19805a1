package placement_test

import (
	"maps"
	"slices"

	"monsoonlever/fleet"
	"monsoonlever/platform"
)

func sortedIDs(instances map[fleet.InstanceID]platform.Instance) []fleet.InstanceID {
	return slices.Sorted(maps.Keys(instances))
}
