package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/placement"
)

// ownPlan returns the targets and limits of the plan for the instances that this controller bought.
// Foreign instances reduce the limits, and are never released.
func (c *Controller) ownPlan(now time.Time) ([]placement.Target, []placement.Limit) {
	var (
		targets []placement.Target
		limits  []placement.Limit
	)

	h := &c.grant

	for _, limit := range h.decision.Limits {
		foreign := h.foreign[limit.Service]
		foreignCount := total(foreign)

		limits = append(limits, placement.Limit{
			Service: limit.Service,
			Max:     max(0, limit.Max-foreignCount),
			Needed:  max(0, limit.Needed-foreignCount),
		})

		for _, target := range c.ownTargets(limit.Service, foreign) {
			target.Count = c.limitProbes(now, target)
			targets = append(targets, target)
		}
	}

	return targets, limits
}

// ownTargets returns the target counts of the controller's own instances of a service.
//
// If the service has foreign instances, a plan that moves them to other cells would only add
// instances, since the foreign ones stay. Own instances are then bought only if the total count is
// below the plan, and released only as many as the total exceeds the plan.
func (c *Controller) ownTargets(service fleet.Service, foreign map[placement.Cell]int) []placement.Target {
	var planned []placement.Target

	for _, target := range c.grant.decision.Targets {
		if target.Service == service {
			planned = append(planned, target)
		}
	}

	if len(foreign) == 0 {
		return planned
	}

	have := c.reconciler.InstanceCounts(service)
	surplus := total(have) + total(foreign) - c.grant.decision.Count(service)
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

// limitProbes bounds the count of a cell that recently refused a purchase. The plan uses such a cell
// only if no other is left. One instance at a time is then bought in it, until a purchase succeeds.
func (c *Controller) limitProbes(now time.Time, target placement.Target) int {
	refusedAt, refused := c.planner.refusals.LastAdded(target.Cell)
	if !refused || now.Sub(refusedAt) >= 2*c.planner.config.AvoidDuration {
		return target.Count
	}

	have := c.reconciler.InstanceCounts(target.Service)[target.Cell]
	if now.Sub(refusedAt) >= probeInterval && have <= c.countOwn(target) {
		have++
	}

	return min(target.Count, have)
}

// countOwn counts the own instances in the cell of a target, including those that leave.
func (c *Controller) countOwn(target placement.Target) int {
	n := 0

	for _, o := range c.reconciler.Instances(target.Service) {
		if cellOf(o.Instance) == target.Cell {
			n++
		}
	}

	return n
}

// probeInterval is the time from a refusal in a cell to the next purchase there.
const probeInterval = time.Minute

func total(counts map[placement.Cell]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}

	return sum
}
