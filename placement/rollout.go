package placement

import (
	"cmp"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Rollout moves the runners of one service to the wanted spec. It drains a runner
// before it orders the new version, and only while another runner stays ready.
type Rollout struct {
	// DrainTimeout is how long a runner may take to finish its work.
	DrainTimeout time.Duration
	// MaxUnavailable is how many runners may be draining or loading at the same time.
	MaxUnavailable int

	draining map[fleet.InstanceID]time.Time
}

// Step returns an assignment for every runner, by instance. A runner for
// which mayLoad returns false does not start to load weights.
func (r *Rollout) Step(now time.Time, s Service, runners []Runner, mayLoad func(fleet.InstanceID) bool) []Assignment {
	if r.draining == nil {
		r.draining = make(map[fleet.InstanceID]time.Time)
	}

	sorted := slices.Clone(runners)
	slices.SortFunc(sorted, func(a, b Runner) int { return cmp.Compare(a.Instance, b.Instance) })
	r.removeMissing(sorted)

	r.startDrains(now, s, sorted)

	result := make([]Assignment, 0, len(sorted))
	for _, runner := range sorted {
		result = append(result, r.assign(now, s, runner, mayLoad))
	}

	return result
}

// Surge returns how many runners to buy beyond the plan: one while a rollout
// has fewer than two ready runners.
func (r *Rollout) Surge(s Service, runners []Runner) int {
	old, ready := 0, 0

	for _, runner := range runners {
		if runner.Leaving {
			continue
		}

		if runner.Spec != s.Spec {
			old++
		}

		if runner.Ready {
			ready++
		}
	}

	if old > 0 && ready < 2 {
		return 1
	}

	return 0
}

// startDrains starts to drain runners while enough others stay ready. It waits until
// every runner is settled, because until then a delayed order of an earlier
// holder may make another runner unavailable.
func (r *Rollout) startDrains(now time.Time, s Service, runners []Runner) {
	remainingReady, unavailable := 0, 0

	for _, runner := range runners {
		if !runner.Settled && !runner.Leaving {
			return
		}

		_, drains := r.draining[runner.Instance]
		if runner.Ready && !drains && !runner.Leaving {
			remainingReady++

			continue
		}

		if !runner.Leaving {
			unavailable++
		}
	}

	for _, runner := range runners {
		if remainingReady < 2 || unavailable >= max(1, r.MaxUnavailable) {
			return
		}

		_, drains := r.draining[runner.Instance]
		if drains || runner.Leaving || !runner.Ready || runner.Spec == s.Spec {
			continue
		}

		r.draining[runner.Instance] = now
		remainingReady--
		unavailable++
	}
}

func (r *Rollout) assign(now time.Time, s Service, runner Runner, mayLoad func(fleet.InstanceID) bool) Assignment {
	since, drains := r.draining[runner.Instance]

	switch {
	case runner.Leaving:
		return Assignment{Instance: runner.Instance, Spec: runner.Spec, Drain: true, Reason: "leaves"}
	case runner.Spec == s.Spec:
		delete(r.draining, runner.Instance)

		return Assignment{Instance: runner.Instance, Spec: s.Spec, Reason: "holds what is wanted"}
	case runner.Ready && !drains:
		return Assignment{Instance: runner.Instance, Spec: runner.Spec, Reason: "serves the old version until others are ready"}
	case runner.Ready && !runner.Idle && now.Sub(since) < r.DrainTimeout:
		return Assignment{Instance: runner.Instance, Spec: runner.Spec, Drain: true, Reason: "drains the old version"}
	case !mayLoad(runner.Instance):
		return Assignment{Instance: runner.Instance, Spec: runner.Spec, Drain: drains, Reason: "waits for the weight store"}
	default:
		return Assignment{Instance: runner.Instance, Spec: s.Spec, Drain: drains, Reason: "loads the wanted version"}
	}
}

func (r *Rollout) removeMissing(runners []Runner) {
	for id := range r.draining {
		found := slices.ContainsFunc(runners, func(runner Runner) bool { return runner.Instance == id })
		if !found {
			delete(r.draining, id)
		}
	}
}
