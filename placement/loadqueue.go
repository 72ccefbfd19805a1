package placement

import (
	"cmp"
	"slices"

	"monsoonlever/fleet"
)

// LoadQueue shares the rate of the weight store: a few loads run at once, each
// with more of the rate, since two loads one after the other restore the first
// runner in half the time that two at once take.
type LoadQueue struct {
	// MaxConcurrent is how many loads may run at once.
	MaxConcurrent int
}

// Allowed returns the runners that may load now. A load that has started goes
// on. The next goes to the service that misses its target most, by priority
// first; a rollout, which misses nothing, comes last.
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
