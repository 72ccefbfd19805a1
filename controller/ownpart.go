package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/placement"
)

// ownPart returns the part of the plan that is this system's to carry out: what
// it did not buy it neither counts as its own nor gives up.
func (c *Controller) ownPart(now time.Time) ([]placement.Target, []placement.Limit) {
	var (
		targets []placement.Target
		limits  []placement.Limit
	)

	h := &c.holding

	for _, limit := range h.decision.Limits {
		foreign := h.foreign[limit.Service]
		others := total(foreign)

		limits = append(limits, placement.Limit{
			Service: limit.Service,
			Max:     max(0, limit.Max-others),
			Needed:  max(0, limit.Needed-others),
		})

		for _, target := range c.ownTargets(limit.Service, foreign) {
			target.Count = c.probed(now, target)
			targets = append(targets, target)
		}
	}

	return targets, limits
}

// ownTargets returns the wanted counts of the own instances of a service.
//
// Where others' instances are part of what it has, a plan to move them would
// only add to them. Then own ones are bought only if more are needed in all, and
// given up only as many as are too many in all.
func (c *Controller) ownTargets(service fleet.Service, foreign map[placement.Cell]int) []placement.Target {
	var planned []placement.Target

	for _, target := range c.holding.decision.Targets {
		if target.Service == service {
			planned = append(planned, target)
		}
	}

	if len(foreign) == 0 {
		return planned
	}

	have := c.reconciler.InstanceCounts(service)
	surplus := total(have) + total(foreign) - c.holding.decision.Count(service)
	targets := make([]placement.Target, 0, len(planned))

	for _, target := range planned {
		own := max(0, target.Count-foreign[target.Cell])

		if surplus >= 0 {
			least := max(0, have[target.Cell]-surplus)
			own = min(max(own, least), have[target.Cell])
			surplus -= have[target.Cell] - own
		}

		targets = append(targets, placement.Target{Service: service, Cell: target.Cell, Count: own})
	}

	return targets
}

// probed bounds the count of a cell that refused of late. The plan falls back on
// such cells where nothing else is left; each is then asked for one instance at a
// time until a purchase goes through.
func (c *Controller) probed(now time.Time, target placement.Target) int {
	at, refused := c.planner.refusals.LastAdded(target.Cell)
	if !refused || now.Sub(at) >= 2*c.planner.config.AvoidDuration {
		return target.Count
	}

	have := c.reconciler.InstanceCounts(target.Service)[target.Cell]
	if now.Sub(at) >= probeEvery && have <= c.boughtIn(target) {
		have++
	}

	return min(target.Count, have)
}

// boughtIn counts the own instances in the cell of a target, the leaving ones too.
func (c *Controller) boughtIn(target placement.Target) int {
	n := 0

	for _, o := range c.reconciler.Instances(target.Service) {
		if cellOf(o.Instance) == target.Cell {
			n++
		}
	}

	return n
}

// probeEvery is the time between two purchases in a cell that refuses.
const probeEvery = time.Minute

func total(counts map[placement.Cell]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}

	return sum
}
