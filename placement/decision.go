package placement

import "monsoonlever/fleet"

// Decision is the result of Plan: the wanted instance counts and their reasons.
type Decision struct {
	Targets      []Target
	Explanations []Explanation
	// Limits bounds each service for the Reconciler.
	Limits []Limit
}

// Explanation describes in one sentence the instances planned for a service and why.
type Explanation struct {
	Service fleet.Service
	Text    string
}

// String returns the line as service: text.
func (l Explanation) String() string {
	return string(l.Service) + ": " + l.Text
}

// Count returns the number of instances planned for a service.
func (d Decision) Count(service fleet.Service) int {
	total := 0

	for _, t := range d.Targets {
		if t.Service == service {
			total += t.Count
		}
	}

	return total
}
