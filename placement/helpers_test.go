package placement_test

import (
	"maps"
	"slices"

	"monsoonlever/fleet"
	"monsoonlever/provider"
)

func sortedIDs(instances map[fleet.InstanceID]provider.Instance) []fleet.InstanceID {
	return slices.Sorted(maps.Keys(instances))
}
