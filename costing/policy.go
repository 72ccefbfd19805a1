package costing

import (
	"math"

	"monsoonlever/placement"
)

// Policy is the planner of package placement.
type Policy struct {
	filter     offerFilter
	name       string
	config     placement.Config
	forecaster *placement.Forecaster
	// noSpare leaves the loss of a failure domain uncovered.
	noSpare bool
}

// NewPolicy returns the policy with its default settings.
func NewPolicy() *Policy {
	return &Policy{name: "policy", filter: anyOffer, config: placement.DefaultConfig()}
}

// NewOnDemandOnly returns the same planner without the reclaimable offers, so
// that the two differ in nothing else.
func NewOnDemandOnly() *Policy {
	return &Policy{name: "on demand only", filter: onDemandOffer, config: placement.DefaultConfig()}
}

// NewOnDemandNoSpare returns the planner without reclaimable offers that keeps
// nothing for the loss of a failure domain, as on-demand instances are not
// reclaimed.
func NewOnDemandNoSpare() *Policy {
	return &Policy{name: "on demand, no spare", filter: onDemandOffer, config: placement.DefaultConfig(), noSpare: true}
}

// Name implements Planner.
func (p *Policy) Name() string {
	return p.name
}

// Moves implements Planner.
func (p *Policy) Moves() int {
	return placement.DefaultChangesPerHour
}

// Plan implements Planner.
func (p *Policy) Plan(v View) placement.Decision {
	if p.forecaster == nil {
		p.forecaster = placement.NewForecaster(v.Day.Service.LeadTime())
	}

	p.forecaster.Observe(v.Now, v.Load)

	service := v.Day.Service
	if p.noSpare {
		service.UrgentShare = 0
		service.Min = 1
	}

	return placement.Plan(v.Now, placement.State{
		Config:   p.config,
		Offers:   p.filter.apply(v.Offers),
		Refusals: v.Refusals,
		Reclaims: v.Reclaims,
		Services: []placement.ServiceState{{
			Service:        service,
			Forecast:       p.forecaster.Forecast(),
			InstanceCounts: v.Have,
		}},
	})
}

// instancesFor returns how many instances of a capacity a load takes.
func instancesFor(load, capacity float64) int {
	return max(1, int(math.Ceil(load/capacity)))
}
