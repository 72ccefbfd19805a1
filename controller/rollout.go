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
	// readInterval is the time between two reads of an engine.
	readInterval = 2 * time.Second
	// orderRetryInterval is the time between two orders of the same state.
	orderRetryInterval = 5 * time.Second
	// drainTimeout is how long a runner may finish its work before it loads.
	drainTimeout = 10 * time.Minute
	// maxConcurrentLoads is how many runners take weights from the store at a time.
	maxConcurrentLoads = 2
)

// rollout is what the holder of one grant does with the runners.
type rollout struct {
	corrector *lease.Corrector[placement.Holding]
	rollouts  map[modelKey]*placement.Rollout
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
		corrector: &lease.Corrector[placement.Holding]{
			ReadInterval: readInterval, RetryInterval: orderRetryInterval, MaxOrderDelay: lease.DefaultConfig().MaxOrderDelay,
		},
		rollouts: make(map[modelKey]*placement.Rollout),
		runners:  make(map[fleet.InstanceID]*runner),
		surge:    make(map[fleet.Service]int),
	}
}

// rolloutOf returns the roll-out of a model.
func (r *rollout) rolloutOf(key modelKey) *placement.Rollout {
	s, ok := r.rollouts[key]
	if !ok {
		s = &placement.Rollout{DrainTimeout: drainTimeout, MaxUnavailable: 1}
		r.rollouts[key] = s
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

	for _, engine := range r.runners {
		if engine.server.Service != s.Name() {
			continue
		}

		loaded := engine.state.Model
		engine.stray = !slices.Contains(s.Models(), loaded)

		if !engine.known || loaded == model || engine.stray && model == s.Models()[0] {
			group = append(group, engine)
		}
	}

	slices.SortFunc(group, compareRunners)

	return group
}

// decide says what each runner of a model should hold, and what that means.
func (r *rollout) decide(now time.Time, m *manifest.Manifest, s manifest.Service, model manifest.Model) {
	group := r.group(s, model.Name())
	service := serviceOf(m, s)
	service.Holding = holdingOf(model)

	var states []placement.Runner
	for _, engine := range group {
		states = append(states, engine.placement(r.corrector))
	}

	step := r.rolloutOf(modelKey{service: s.Name(), model: model.Name()})

	if canSurge(group) {
		r.surge[s.Name()] = max(r.surge[s.Name()], step.Surge(service, states))
	}

	allowed := placement.LoadQueue{AtOnce: maxConcurrentLoads}.Allowed(r.loads(service.Priority))
	mayLoad := func(id fleet.InstanceID) bool { return slices.Contains(allowed, id) }

	moving := 0

	for _, assignment := range step.Step(now, service, states, mayLoad) {
		engine := r.runners[assignment.Instance]
		engine.assign(assignment, r.corrector)

		if engine.known && engine.holding() != service.Holding {
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
	unread := func(engine *runner) bool { return !engine.known }

	return !slices.ContainsFunc(group, unread) && slices.ContainsFunc(group, (*runner).isReady)
}

// loads returns the runners that take or wait for weights.
func (r *rollout) loads(priority fleet.Priority) []placement.LoadRequest {
	var requests []placement.LoadRequest

	for id, engine := range r.runners {
		if !engine.known || engine.server.Leaving || engine.isReady() && !engine.idle {
			continue
		}

		requests = append(requests, placement.LoadRequest{
			Instance: id, Service: engine.server.Service, Priority: priority, Started: engine.isLoading(),
		})
	}

	return requests
}
