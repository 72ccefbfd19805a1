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
	// drainTimeout is how long a runner may finish its requests before it loads another version.
	drainTimeout = 10 * time.Minute
	// maxConcurrentLoads is how many runners load weights from the store at the same time.
	maxConcurrentLoads = 2
)

// rollout is the state of the model roll-outs under one grant.
type rollout struct {
	corrector *lease.Corrector[placement.EngineSpec]
	byModel   map[modelKey]*placement.Rollout
	runners   map[fleet.InstanceID]*runner
	surge     map[fleet.Service]int
	lines     []string
}

// modelKey identifies the runners that roll out together.
type modelKey struct {
	service fleet.Service
	model   fleet.Model
}

func newRollout() *rollout {
	return &rollout{
		corrector: &lease.Corrector[placement.EngineSpec]{
			ReadInterval: readInterval, RetryInterval: orderRetryInterval, MaxOrderDelay: lease.DefaultConfig().MaxOrderDelay,
		},
		byModel: make(map[modelKey]*placement.Rollout),
		runners: make(map[fleet.InstanceID]*runner),
		surge:   make(map[fleet.Service]int),
	}
}

// rolloutOf returns the roll-out of a model, and creates it on first use.
func (r *rollout) rolloutOf(key modelKey) *placement.Rollout {
	s, ok := r.byModel[key]
	if !ok {
		s = &placement.Rollout{DrainTimeout: drainTimeout, MaxUnavailable: 1}
		r.byModel[key] = s
	}

	return s
}

// update adds and removes runners to match the model engines of the view.
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

// group returns the runners in the roll-out of a model of a service, ordered by instance: runners that
// hold the model, and runners that were not read yet, since these may hold any model. Runners that
// hold no model of the service belong to its first model.
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

// decide computes the model version that each runner of a model should hold, and passes it to the
// corrector.
func (r *rollout) decide(now time.Time, m *manifest.Manifest, s manifest.Service, model manifest.Model) {
	group := r.group(s, model.Name())
	service := serviceOf(m, s)
	service.Spec = specOf(model)

	var states []placement.Runner
	for _, engine := range group {
		states = append(states, engine.placement(r.corrector))
	}

	modelRollout := r.rolloutOf(modelKey{service: s.Name(), model: model.Name()})

	if canSurge(group) {
		r.surge[s.Name()] = max(r.surge[s.Name()], modelRollout.Surge(service, states))
	}

	allowed := placement.LoadQueue{MaxConcurrent: maxConcurrentLoads}.Allowed(r.loads(service.Priority))
	mayLoad := func(id fleet.InstanceID) bool { return slices.Contains(allowed, id) }

	moving := 0

	for _, assignment := range modelRollout.Step(now, service, states, mayLoad) {
		engine := r.runners[assignment.Instance]
		engine.assign(assignment, r.corrector)

		if engine.known && engine.spec() != service.Spec {
			moving++
			r.lines = append(r.lines, fmt.Sprintf("%s: %s %s", s.Name(), assignment.Instance, assignment.Reason))
		}
	}

	if moving > 0 {
		r.lines = append(r.lines, fmt.Sprintf("%s: rolls out %s %s, %d of %d runners to go",
			s.Name(), model.Name(), model.Version(), moving, len(group)))
	}
}

// canSurge reports whether an additional runner would help a roll-out. At least one runner must be
// ready, and every runner read, since an unread runner may be ready as well.
func canSurge(group []*runner) bool {
	unread := func(engine *runner) bool { return !engine.known }

	return !slices.ContainsFunc(group, unread) && slices.ContainsFunc(group, (*runner).isReady)
}

// loads returns the load requests of the runners that load weights or wait to load them.
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
