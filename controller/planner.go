package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/placement"
)

const (
	// measureInterval is the time between two measurements of the load.
	measureInterval = 5 * time.Second
	// planInterval is the time between two plans.
	planInterval = 5 * time.Second
)

// planner is the input of the plans that outlives a grant. Every candidate measures the load, so that
// a new holder has a forecast.
type planner struct {
	config      placement.Config
	forecasters map[fleet.Service]*placement.Forecaster
	refusals    *placement.CellPenalties
	reclaims    *placement.CellPenalties
	measuredAt  time.Time
	// recordedReclaims are the leaving instances that are recorded in reclaims.
	recordedReclaims map[fleet.InstanceID]bool
}

func newPlanner() *planner {
	config := placement.DefaultConfig()

	return &planner{
		config:           config,
		forecasters:      make(map[fleet.Service]*placement.Forecaster),
		refusals:         config.NewCellPenalties(),
		reclaims:         config.NewCellPenalties(),
		recordedReclaims: make(map[fleet.InstanceID]bool),
	}
}

// measure adds the current load of every service to its forecaster.
func (c *Controller) measure(v view) {
	if !isDue(v.now, c.planner.measuredAt, measureInterval) {
		return
	}

	c.planner.measuredAt = v.now

	for _, s := range v.manifest.Services() {
		f, ok := c.planner.forecasters[s.Name()]
		if !ok {
			f = placement.NewForecaster(serviceOf(v.manifest, s).LeadTime())
			c.planner.forecasters[s.Name()] = f
		}

		f.Observe(v.now, c.demand(v, s))
	}
}

// plan computes the target count of instances of each service.
func (c *Controller) plan(v view) {
	h := &c.grant
	if !v.listed || !h.listing.known || !isDue(v.now, h.plannedAt, planInterval) {
		return
	}

	h.plannedAt = v.now
	c.recordReclaims(v)

	h.foreign = c.foreign(v)
	state := placement.State{
		Config:   c.planner.config,
		Offers:   offersOf(v.manifest, c.Region),
		Refusals: c.planner.refusals,
		Reclaims: c.planner.reclaims,
	}

	var unmanaged []placement.Explanation

	for _, s := range v.manifest.Services() {
		if s.Capacity().Max() == 0 {
			unmanaged = append(unmanaged, placement.Explanation{
				Service: s.Name(), Text: "left as it is: the manifest bounds no number of servers for it",
			})

			continue
		}

		have := c.reconciler.InstanceCounts(s.Name())
		for cell, n := range h.foreign[s.Name()] {
			have[cell] += n
		}

		state.Services = append(state.Services, placement.ServiceState{
			Service:        serviceOf(v.manifest, s),
			Forecast:       c.planner.forecasters[s.Name()].Forecast(),
			InstanceCounts: have,
			Surge:          h.rollout.surge[s.Name()],
		})
	}

	h.decision = placement.Plan(v.now, state)
	h.decision.Explanations = append(h.decision.Explanations, unmanaged...)
}

// foreign counts by service and cell the instances that carry no purchase token of this controller.
// Instances that leave are not counted.
func (c *Controller) foreign(v view) map[fleet.Service]map[placement.Cell]int {
	counts := make(map[fleet.Service]map[placement.Cell]int)

	for _, instance := range c.grant.listing.instances {
		s, ok := v.server(instance.ID)
		if _, own := placement.ParseToken(c.owner(), instance.Token); own || !ok || s.Leaving {
			continue
		}

		if counts[s.Service] == nil {
			counts[s.Service] = make(map[placement.Cell]int)
		}

		counts[s.Service][cellOf(instance)]++
	}

	return counts
}

// recordReclaims records the cells in which the provider reclaims instances, that is, of instances
// that leave although this controller has not retired them.
func (c *Controller) recordReclaims(v view) {
	leaving := make(map[fleet.InstanceID]bool)

	for _, instance := range c.grant.listing.instances {
		s, ok := v.server(instance.ID)
		if intent, own := c.intentOf(instance); !ok || !s.Leaving || own && intent.Retired {
			continue
		}

		leaving[instance.ID] = true

		if !c.planner.recordedReclaims[instance.ID] {
			c.planner.reclaims.Add(v.now, cellOf(instance))
		}
	}

	c.planner.recordedReclaims = leaving
}
