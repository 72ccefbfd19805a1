package register

import (
	"testing"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// Guards against a leaving server that counts as ready again after an older entry, a full
// snapshot, or an entry that expired and was written again.
func TestHoldsLeavingIsFinalForProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Register

		left := make(map[Process]bool)
		version := uint64(0)
		change := func() Change {
			version++

			c := Change{ID: rapid.SampledFrom([]fleet.InstanceID{"i-1", "i-2"}).Draw(t, "id"), Version: version}
			if rapid.Bool().Draw(t, "there") {
				c.Server = &Server{
					ID: c.ID, Incarnation: fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "start")),
					Leaving: rapid.Bool().Draw(t, "leaving"),
				}
			}

			return c
		}

		t.Repeat(map[string]func(*rapid.T){
			"entry":    func(*rapid.T) { r.Apply([]Change{change()}) },
			"snapshot": func(*rapid.T) { r.Replace([]Change{change()}) },
			"old copy": func(*rapid.T) { r.Restore([]Change{change()}) },
			"announced": func(*rapid.T) {
				start := Process{
					ID:          rapid.SampledFrom([]fleet.InstanceID{"i-1", "i-2"}).Draw(t, "who"),
					Incarnation: fleet.Incarnation(rapid.IntRange(1, 3).Draw(t, "which")),
				}
				r.MarkLeaving([]Process{start})
				left[start] = true
			},
			"": func(t *rapid.T) {
				for _, s := range r.Servers() {
					if left[s.Process()] && !s.Leaving {
						t.Errorf("%v: got ready, want it still leaving", s.Process())
					}

					left[s.Process()] = left[s.Process()] || s.Leaving
				}
			},
		})
	})
}

// Guards against leaving processes that accumulate without a bound.
func TestLeavingProcessesAreBounded(t *testing.T) {
	var r Register

	for i := range 2 * maxLeavingProcesses {
		r.MarkLeaving([]Process{{ID: "i-1", Incarnation: fleet.Incarnation(i + 1)}})
	}

	if got := r.leaving.processes.Len(); got != maxLeavingProcesses {
		t.Errorf("leaving processes: got %d, want %d", got, maxLeavingProcesses)
	}
}
