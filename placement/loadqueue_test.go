package placement_test

import (
	"slices"
	"testing"

	"monsoonlever/fleet"
	"monsoonlever/placement"
)

func TestLoadQueueRestoresTargetsFirst(t *testing.T) {
	rollout := placement.LoadRequest{Instance: "rollout", Priority: 9}
	short := placement.LoadRequest{Instance: "short", Priority: 1, Shortage: 0.1}
	shorter := placement.LoadRequest{Instance: "shorter", Priority: 1, Shortage: 0.5}
	urgent := placement.LoadRequest{Instance: "urgent", Priority: 5, Shortage: 0.1}
	started := placement.LoadRequest{Instance: "started", Started: true}

	table := []struct {
		desc     string
		atOnce   int
		requests []placement.LoadRequest
		want     []fleet.InstanceID
	}{
		{"a rollout waits for a shortage", 1, []placement.LoadRequest{rollout, short}, []fleet.InstanceID{"short"}},
		{"priority goes before the size of a shortage", 1, []placement.LoadRequest{shorter, urgent}, []fleet.InstanceID{"urgent"}},
		{"the greater shortage goes first", 2, []placement.LoadRequest{short, rollout, shorter}, []fleet.InstanceID{"shorter", "short"}},
		{"a load that started goes on", 1, []placement.LoadRequest{urgent, started}, []fleet.InstanceID{"started"}},
	}
	for _, tt := range table {
		t.Run(tt.desc, func(t *testing.T) {
			got := placement.LoadQueue{MaxConcurrent: tt.atOnce}.Allowed(tt.requests)
			if !slices.Equal(got, tt.want) {
				t.Errorf("allowed: got %v, want %v", got, tt.want)
			}
		})
	}
}
