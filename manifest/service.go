package manifest

import (
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// Service is what callers ask for by name.
type Service struct {
	wire     *wireService
	calls    []Call
	routes   []route
	capacity ServiceCapacity
}

// Name returns the service's name.
func (s Service) Name() fleet.Service { return s.wire.Name }

// Kind tells whether model engines or plain backend servers serve it.
func (s Service) Kind() Kind { return s.wire.Kind }

// Models returns the models that the service offers, none for a plain service.
func (s Service) Models() []fleet.Model { return clone(s.wire.Models) }

// Classes returns the machine classes that its backend servers may have.
func (s Service) Classes() []provider.Class { return clone(s.wire.Classes) }

// FailureDomains returns where its backend servers may stand; none means all.
func (s Service) FailureDomains() []fleet.FailureDomain { return clone(s.wire.FailureDomains) }

// Concurrency returns how many calls one backend server of a plain service
// serves at once.
func (s Service) Concurrency() int { return s.wire.Concurrency }

// Calls returns the kinds of call in the order of the document.
func (s Service) Calls() []Call { return clone(s.calls) }

// Capacity returns the bounds on the number of its backend servers.
func (s Service) Capacity() ServiceCapacity { return s.capacity }

// CallByName returns the kind of call of a name.
func (s Service) CallByName(name fleet.CallKind) (Call, bool) {
	for _, c := range s.calls {
		if c.Name() == name {
			return c, true
		}
	}

	return Call{}, false
}

// CallFor returns the kind of a call by its method and decoded path. Where more
// than one pattern fits, the one with literal segments further left goes first.
func (s Service) CallFor(method, path string) (Call, bool) {
	for i := range s.routes {
		r := &s.routes[i]
		if r.method == method && r.pattern.matches(path) {
			return s.calls[r.call], true
		}
	}

	return Call{}, false
}
