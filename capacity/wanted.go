package capacity

import (
	"maps"
	"math"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// updateWanted returns the number of servers for the highest load of late.
func (p *Planner) updateWanted(now time.Time, s ServiceState) int {
	onDemand, reclaimable := 0, 0
	for _, domain := range s.Domains {
		onDemand += domain.OnDemand
		reclaimable += domain.Reclaimable
	}

	if onDemand+reclaimable == 0 && s.ServerRate == 0 {
		// The servers that are there at the start have not registered yet.
		return 0
	}

	n := len(s.Domains) * max(s.MinPerDomain, 1)

	switch {
	case s.ServerRate > 0 && s.ArrivalRate > 0:
		n = max(n, int(math.Ceil(s.ArrivalRate/(s.ServerRate*targetUtilization(len(s.Domains))))))
	default:
		// Nothing is known of the load yet: what is there was meant for it. One kind
		// takes the place of the other, so that their sum is no measure.
		n = max(n, onDemand, reclaimable)
	}

	peaks := p.peaksOf(s.Service)
	if s.Contradicted() {
		n = min(n, max(peaks.highest(now, peakWindow), onDemand, reclaimable))
	}

	if peaks.empty() {
		// A planner that is new and heard of no plan knows no load of the time before:
		// what is there was ordered for it.
		n = max(n, onDemand, reclaimable)
	}

	peaks.add(now, min(n, len(s.Domains)*s.MaxPerDomain))

	return min(peaks.highest(now, peakWindow), len(s.Domains)*s.MaxPerDomain)
}

// targetUtilization returns the part of a server's speed that is used at the usual load. The more
// failure domains there are, the less is lost with two of them.
func targetUtilization(domains int) float64 {
	lost := min(toleratedDomainLosses/float64(max(domains, 1)), maxLostShare)

	return maxUtilizationAfterLosses * (1 - lost)
}

// peaksOf returns the loads of a service.
func (p *Planner) peaksOf(service fleet.Service) *peaks {
	if p.peaks == nil {
		p.peaks = make(map[fleet.Service]*peaks)
	}

	servicePeaks := p.peaks[service]
	if servicePeaks == nil {
		servicePeaks = &peaks{}
		p.peaks[service] = servicePeaks
	}

	return servicePeaks
}

// Wanted returns how many servers of a service are wanted, and how many were wanted
// of late.
func (p *Planner) Wanted(now time.Time, service fleet.Service) (wanted, recent int) {
	peaks := p.peaksOf(service)

	return peaks.highest(now, peakWindow), peaks.highest(now, recentWindow)
}

// Plans returns what is wanted at present, for the planner of the next holder.
func (p *Planner) Plans(now time.Time) []Plan {
	var plans []Plan

	for _, service := range slices.Sorted(maps.Keys(p.peaks)) {
		if wanted := p.peaks[service].highest(now, peakWindow); wanted > 0 {
			plans = append(plans, Plan{Service: service, Wanted: wanted})
		}
	}

	return plans
}

// Restore takes in what another planner wanted. One that takes over after all
// instances have started anew would else know only the load since then.
func (p *Planner) Restore(now time.Time, plans []Plan) {
	for _, plan := range plans {
		p.peaksOf(plan.Service).add(now, plan.Wanted)
	}
}
