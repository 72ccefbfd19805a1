package placement_test

import (
	"testing"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/placement"
)

func TestRolloutDrains(t *testing.T) {
	old, wanted := version("1"), version("2")
	ready := placement.Runner{Instance: "a", Spec: old, Ready: true, Settled: true}
	second := placement.Runner{Instance: "b", Spec: old, Ready: true, Settled: true}
	unsettled := placement.Runner{Instance: "b", Spec: old, Ready: true}
	leaving := placement.Runner{Instance: "b", Spec: old, Ready: true, Settled: true, Leaving: true}
	loading := placement.Runner{Instance: "b", Spec: wanted, Settled: true}

	for _, tt := range []struct {
		desc  string
		other placement.Runner
		want  bool
	}{
		{"while another stays ready", second, true},
		{"not while another may take an older order", unsettled, false},
		{"not while the other one leaves", leaving, false},
		{"not while the other one loads", loading, false},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			r := &placement.Rollout{DrainTimeout: time.Minute, MaxUnavailable: 1}
			all := func(fleet.InstanceID) bool { return true }

			assignments := r.Step(start, placement.Service{Spec: wanted}, []placement.Runner{ready, tt.other}, all)
			if got := assignments[0].Drain; got != tt.want {
				t.Errorf("drains: got %v, want %v: %s", got, tt.want, assignments[0].Reason)
			}
		})
	}
}
