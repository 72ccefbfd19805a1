package costing

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// Deployment is a set of services in the failure domains of one region.
type Deployment struct {
	Name     string
	Domains  []fleet.FailureDomain
	Services []ServiceLoad
}

// ServiceLoad is a service and the shape of its load.
type ServiceLoad struct {
	Service placement.Service
	// Base is the load at rest in tokens, or for a plain service requests, a second.
	Base float64
	// Shape is how the load moves over the day.
	Shape Shape
	// Patience is how long a call that is not urgent may wait.
	Patience time.Duration
	// Classes are the machine classes, with the on-demand price of each.
	Classes []ClassPrice
}

// ClassPrice is the price of an on-demand instance by the hour.
type ClassPrice struct {
	Class provider.Class
	Price float64
}

var (
	engineClasses = []ClassPrice{{Class: "accel-1", Price: 3}, {Class: "accel-2", Price: 5.7}}
	plainClasses  = []ClassPrice{{Class: "cpu-4", Price: 0.2}, {Class: "cpu-8", Price: 0.38}}
)

// Kronvig is a deployment with payment runs: about 12 runners and 4 instances
// of a plain service as a run closes.
func Kronvig() Deployment {
	return Deployment{
		Name:    "Kronvig",
		Domains: []fleet.FailureDomain{"ballerup-a", "ballerup-b", "taastrup-1", "taastrup-2"},
		Services: []ServiceLoad{
			engineLoad("ledger-llm", 3800, PaymentRun, 0.4),
			plainLoad("payrun-api", 450, PaymentRun),
		},
	}
}

// Abyssinia is a deployment with marking cycles: about 9 runners and 4
// instances of a plain service.
func Abyssinia() Deployment {
	return Deployment{
		Name:    "Abyssinia",
		Domains: []fleet.FailureDomain{"bole", "piassa", "kazanchis", "megenagna"},
		Services: []ServiceLoad{
			engineLoad("lm-fleet", 4200, MarkingCycle, 0.4),
			plainLoad("counter-app", 700, Steady),
		},
	}
}

func engineLoad(name fleet.Service, base float64, shape Shape, urgent float64) ServiceLoad {
	return ServiceLoad{
		Service: placement.Service{
			Name: name,
			Capacity: map[provider.Class]placement.Load{
				"accel-1": {TokensPerSecond: 1000},
				"accel-2": {TokensPerSecond: 2000},
			},
			UrgentShare: urgent,
			Min:         2,
			Max:         40,
			StartTime:   2 * time.Minute,
			LoadTime:    time.Minute,
		},
		Base:     base,
		Shape:    shape,
		Patience: 15 * time.Minute,
		Classes:  engineClasses,
	}
}

func plainLoad(name fleet.Service, base float64, shape Shape) ServiceLoad {
	return ServiceLoad{
		Service: placement.Service{
			Name: name,
			Capacity: map[provider.Class]placement.Load{
				"cpu-4": {TokensPerSecond: 350},
				"cpu-8": {TokensPerSecond: 700},
			},
			UrgentShare: 1,
			Min:         2,
			Max:         30,
			StartTime:   time.Minute,
		},
		Base:    base,
		Shape:   shape,
		Classes: plainClasses,
	}
}
