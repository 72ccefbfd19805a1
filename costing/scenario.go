package costing

import (
	"math/rand/v2"
)

// Scenario is one day of one deployment.
type Scenario struct {
	Deployment Deployment
	Services   []ServiceDay
}

// ServiceDay is the day of one service.
type ServiceDay struct {
	ServiceLoad
	trace  []float64
	market *Market
}

// NewScenario returns the day that a seed makes.
func NewScenario(d Deployment, seed uint64) Scenario {
	s := Scenario{Deployment: d}

	for i, load := range d.Services {
		// Each service has its own stream, so that adding one changes no other.
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		s.Services = append(s.Services, ServiceDay{
			ServiceLoad: load,
			trace:       newTrace(random, load.Base, load.Shape),
			market:      newMarket(rand.New(rand.NewPCG(seed, 1000)), d.Domains, load.Classes),
		})
	}

	return s
}
