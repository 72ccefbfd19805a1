package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/placement"
)

const (
	// measureEvery is the time between two measurements of the load.
	measureEvery = 5 * time.Second
	// planEvery is the time between two plans.
	planEvery = 5 * time.Second
)

// planner remembers what plans are made from. Every candidate measures, so that
// a new holder knows the trend.
type planner struct {
	config      placement.Config
	forecasters map[fleet.Service]*placement.Forecaster
	refusals    *placement.CellPenalties
	reclaims    *placement.CellPenalties
	measuredAt  time.Time
	// reclaimed are the leaving instances that were noted.
	reclaimed map[fleet.InstanceID]bool
}

func newPlanner() *planner {
	config := placement.DefaultConfig()

	return &planner{
		config:      config,
		forecasters: make(map[fleet.Service]*placement.Forecaster),
		refusals:    config.NewCellPenalties(),
		reclaims:    config.NewCellPenalties(),
		reclaimed:   make(map[fleet.InstanceID]bool),
	}
}

// measure takes in the load of every service.
func (c *Controller) measure(v view) {
	if !isDue(v.now, c.planner.measuredAt, measureEvery) {
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

// plan decides anew what each service should have.
func (c *Controller) plan(v view) {
	h := &c.holding
	if !v.listed || !h.listing.known || !isDue(v.now, h.plannedAt, planEvery) {
		return
	}

	h.plannedAt = v.now
	c.noteReclaims(v)

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

// foreign counts by service and cell the instances that are not this system's
// to give up: those that no purchase of its own accounts for.
func (c *Controller) foreign(v view) map[fleet.Service]map[placement.Cell]int {
	counts := make(map[fleet.Service]map[placement.Cell]int)

	for _, instance := range c.holding.listing.instances {
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

// noteReclaims remembers where reclaimable instances are taken back.
func (c *Controller) noteReclaims(v view) {
	leaving := make(map[fleet.InstanceID]bool)

	for _, instance := range c.holding.listing.instances {
		s, ok := v.server(instance.ID)
		if intent, own := c.intentOf(instance); !ok || !s.Leaving || own && intent.Retired {
			continue
		}

		leaving[instance.ID] = true

		if !c.planner.reclaimed[instance.ID] {
			c.planner.reclaims.Add(v.now, cellOf(instance))
		}
	}

	c.planner.reclaimed = leaving
}
