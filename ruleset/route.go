package ruleset

import (
	"slices"
	"time"

	"monsoonlever/fleet"
)

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time to the end of the response.
	Timeout time.Duration
	// Objective is the operators' latency objective for the complete response, or
	// for the first event of a stream.
	Objective time.Duration
	// GapObjective is the latency objective between two events of a stream.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of backend servers that a request is sent to.
	MaxAttempts int
	// Public routes require no key of a client account.
	Public bool
	// Resumable streams can be continued by another backend server.
	Resumable bool
	// Generative routes carry prompts for model engines.
	Generative bool

	totalWeight int
}

// Target is a service that receives a share of the requests of a route.
type Target struct {
	Service fleet.Service
	Weight  int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Attempts returns the maximum number of backend servers for a request, at least one.
func (r *Route) Attempts() int {
	return max(r.MaxAttempts, 1)
}

// HasTarget reports whether requests of the route may be sent to a service.
func (r *Route) HasTarget(service fleet.Service) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// PickService selects the service of a request by the weights of the targets; draw is
// a uniform random number in [0, 1).
func (r *Route) PickService(draw float64) fleet.Service {
	at := draw * float64(r.totalWeight)

	for _, t := range r.Targets {
		at -= float64(max(t.Weight, 0))
		if at < 0 {
			return t.Service
		}
	}

	return r.Targets[0].Service
}
