package placement

import (
	"cmp"
	"slices"

	"monsoonlever/fleet"
)

// LoadQueue limits concurrent loads from the weight store. Two loads in sequence
// finish the first runner in half the time that two concurrent loads take, so
// fewer loads, each with more bandwidth, restore capacity sooner.
type LoadQueue struct {
	// MaxConcurrent is how many loads may run at the same time.
	MaxConcurrent int
}

// Allowed returns the runners that may load now. A started load is never
// interrupted. Services with a shortage come first, by priority and then by the
// size of the shortage; rollouts, which have no shortage, come last.
func (q LoadQueue) Allowed(requests []LoadRequest) []fleet.InstanceID {
	sorted := slices.Clone(requests)
	slices.SortStableFunc(sorted, compareLoads)

	var allowed []fleet.InstanceID

	for _, request := range sorted {
		if !request.Started && len(allowed) >= max(1, q.MaxConcurrent) {
			break
		}

		allowed = append(allowed, request.Instance)
	}

	return allowed
}

func compareLoads(a, b LoadRequest) int {
	return cmp.Or(
		-compareBool(a.Started, b.Started),
		-compareBool(a.Shortage > 0, b.Shortage > 0),
		-cmp.Compare(a.Priority, b.Priority),
		-cmp.Compare(a.Shortage, b.Shortage),
		cmp.Compare(a.Instance, b.Instance),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
