package controller

import (
	"fmt"
	"slices"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/lease"
	"monsoonlever/manifest"
	"monsoonlever/placement"
)

const (
	// readEvery is the time between two reads of an engine.
	readEvery = 2 * time.Second
	// orderRetry is the time between two orders of the same state.
	orderRetry = 5 * time.Second
	// drainTimeout is how long a runner may finish its work before it loads.
	drainTimeout = 10 * time.Minute
	// loadsAtOnce is how many runners take weights from the store at a time.
	loadsAtOnce = 2
)

// rollout is what the holder of one grant does with the runners.
type rollout struct {
	corrector *lease.Corrector[placement.EngineSpec]
	steps     map[modelKey]*placement.Rollout
	runners   map[fleet.InstanceID]*runner
	surge     map[fleet.Service]int
	lines     []string
}

// modelKey names the runners that roll out together.
type modelKey struct {
	service fleet.Service
	model   fleet.Model
}

func newRollout() *rollout {
	return &rollout{
		corrector: &lease.Corrector[placement.EngineSpec]{
			ReadInterval: readEvery, RetryInterval: orderRetry, MaxOrderDelay: lease.DefaultConfig().MaxOrderDelay,
		},
		steps:   make(map[modelKey]*placement.Rollout),
		runners: make(map[fleet.InstanceID]*runner),
		surge:   make(map[fleet.Service]int),
	}
}

// step returns the roll-out of a model.
func (r *rollout) step(key modelKey) *placement.Rollout {
	s, ok := r.steps[key]
	if !ok {
		s = &placement.Rollout{DrainTimeout: drainTimeout, MaxUnavailable: 1}
		r.steps[key] = s
	}

	return s
}

// update makes the runners exactly those of the view.
func (r *rollout) update(v view) {
	present := make(map[fleet.InstanceID]bool)

	for _, s := range v.servers {
		service, ok := v.manifest.Service(s.Service)
		if !ok || service.Kind() != manifest.ModelService {
			continue
		}

		present[s.ID] = true

		if r.runners[s.ID] == nil {
			r.runners[s.ID] = &runner{}
		}

		r.runners[s.ID].server = s
	}

	for id := range r.runners {
		if !present[id] {
			delete(r.runners, id)
			r.corrector.Remove(id)
		}
	}
}

// group returns the runners of a model of a service, by instance. One that was
// not read yet may hold any model. The first model also takes those that hold
// none of the service's.
func (r *rollout) group(s manifest.Service, model fleet.Model) []*runner {
	var group []*runner

	for _, one := range r.runners {
		if one.server.Service != s.Name() {
			continue
		}

		held := one.state.Model
		one.stray = !slices.Contains(s.Models(), held)

		if !one.known || held == model || one.stray && model == s.Models()[0] {
			group = append(group, one)
		}
	}

	slices.SortFunc(group, compareRunners)

	return group
}

// decide says what each runner of a model should hold, and what that means.
func (r *rollout) decide(now time.Time, m *manifest.Manifest, s manifest.Service, model manifest.Model) {
	group := r.group(s, model.Name())
	service := serviceOf(m, s)
	service.Spec = holdingOf(model)

	var states []placement.Runner
	for _, one := range group {
		states = append(states, one.placement(r.corrector))
	}

	step := r.step(modelKey{service: s.Name(), model: model.Name()})

	if canSurge(group) {
		r.surge[s.Name()] = max(r.surge[s.Name()], step.Surge(service, states))
	}

	allowed := placement.LoadQueue{MaxConcurrent: loadsAtOnce}.Allowed(r.loads(service.Priority))
	mayLoad := func(id fleet.InstanceID) bool { return slices.Contains(allowed, id) }

	moving := 0

	for _, assignment := range step.Step(now, service, states, mayLoad) {
		one := r.runners[assignment.Instance]
		one.assign(assignment, r.corrector)

		if one.known && one.holding() != service.Spec {
			moving++
			r.lines = append(r.lines, fmt.Sprintf("%s: %s %s", s.Name(), assignment.Instance, assignment.Reason))
		}
	}

	if moving > 0 {
		r.lines = append(r.lines, fmt.Sprintf("%s: rolls out %s %s, %d of %d runners to go",
			s.Name(), model.Name(), model.Version(), moving, len(group)))
	}
}

// canSurge tells whether a further runner would help a roll-out: one is ready, and
// no other may turn out to be so once it is read.
func canSurge(group []*runner) bool {
	unread := func(one *runner) bool { return !one.known }

	return !slices.ContainsFunc(group, unread) && slices.ContainsFunc(group, (*runner).isReady)
}

// loads returns the runners that take or wait for weights.
func (r *rollout) loads(priority fleet.Priority) []placement.LoadRequest {
	var requests []placement.LoadRequest

	for id, one := range r.runners {
		if !one.known || one.server.Leaving || one.isReady() && !one.idle {
			continue
		}

		requests = append(requests, placement.LoadRequest{
			Instance: id, Service: one.server.Service, Priority: priority, Started: one.isLoading(),
		})
	}

	return requests
}
