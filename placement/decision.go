package placement

import "monsoonlever/fleet"

// Decision is what a plan wants, and why.
type Decision struct {
	Targets      []Target
	Explanations []Explanation
	// Limits bounds each service for the Reconciler.
	Limits []Limit
}

// Explanation says in a sentence why a service gets what it gets.
type Explanation struct {
	Service fleet.Service
	Text    string
}

// String returns the line as service: text.
func (l Explanation) String() string {
	return string(l.Service) + ": " + l.Text
}

// Count returns the instances that the decision wants for a service.
func (d Decision) Count(service fleet.Service) int {
	total := 0

	for _, t := range d.Targets {
		if t.Service == service {
			total += t.Count
		}
	}

	return total
}
