package answer

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
)

// TestHoldsAcceptedSurvivesKill guards against an accepted request that is lost
// with its owner alone, while other instances are slow or cannot be reached: a
// silent copy must not be given up before its replacement has the answer.
func TestHoldsAcceptedSurvivesKill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newEntries(t)
		faults := w.faults()
		actions := w.normalActions()
		delete(actions, "reclaim a failure domain")

		for _, name := range []string{"cut", "pause", "wake", "membership"} {
			actions[name] = faults[name]
		}

		t.Repeat(actions)
		w.killOwner(t)
		w.settle(t)

		for _, r := range slices.Sorted(maps.Keys(w.callers)) {
			c := w.callers[r]
			if c.accepted && c.outcome == "" {
				t.Fatalf("%s was accepted: got no end after %d of %d tokens, want one", r, len(c.got), w.length)
			}
		}
	})
}

// killOwner kills an instance that owns an answer, if there is one.
func (w *entries) killOwner(t *rapid.T) {
	owners := slices.DeleteFunc(w.ids(), func(id fleet.InstanceID) bool {
		return !w.up(id) || len(w.entries[id].runs) == 0
	})
	if len(owners) > 0 {
		w.kill(rapid.SampledFrom(owners).Draw(t, "owner"))
	}
}
