package ruleset

import (
	"time"

	"monsoonlever/fleet"
)

// Route says which service runs the requests below a prefix of a host.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time to the whole answer, or to the first event of a
	// stream, that operators aim for.
	Objective time.Duration
	// GapObjective is the same for the pause between two events.
	GapObjective time.Duration
	// Priority ranks routes; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is how many backend servers one request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Generative routes carry prompts for model engines.
	Generative bool

	totalWeight int
}

// Target is a service that a route sends a part of its requests to.
type Target struct {
	Service fleet.Service
	Weight  int
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Attempts returns how many backend servers a request may be sent to, at least one.
func (r *Route) Attempts() int {
	return max(r.MaxAttempts, 1)
}

// PickService returns the service for a request; draw is uniform in [0, 1).
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
