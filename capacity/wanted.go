package capacity

import (
	"maps"
	"math"
	"slices"
	"time"

	"monsoonlever/fleet"
)

// updateWanted adds the number of servers for the current load to the peaks and returns the
// highest number within peakWindow.
func (p *Planner) updateWanted(now time.Time, s ServiceState) int {
	onDemand, reclaimable := 0, 0
	for _, domain := range s.Domains {
		onDemand += domain.OnDemand
		reclaimable += domain.Reclaimable
	}

	if onDemand+reclaimable == 0 && s.ServerRate == 0 {
		// The existing servers have not registered yet.
		return 0
	}

	n := len(s.Domains) * max(s.MinPerDomain, 1)

	switch {
	case s.ServerRate > 0 && s.ArrivalRate > 0:
		n = max(n, int(math.Ceil(s.ArrivalRate/(s.ServerRate*targetUtilization(len(s.Domains))))))
	default:
		// The load is not known yet, so the existing servers are kept. Reclaimable and
		// on-demand servers replace each other, so that their sum would count servers twice.
		n = max(n, onDemand, reclaimable)
	}

	peaks := p.peaksOf(s.Service)
	if s.Contradicted() {
		n = min(n, max(peaks.highest(now, peakWindow), onDemand, reclaimable))
	}

	if peaks.empty() {
		// A new planner without restored plans does not know the earlier load, for which the
		// existing servers were ordered.
		n = max(n, onDemand, reclaimable)
	}

	peaks.add(now, min(n, len(s.Domains)*s.MaxPerDomain))

	return min(peaks.highest(now, peakWindow), len(s.Domains)*s.MaxPerDomain)
}

// targetUtilization returns the utilization of a server at the usual load. With more failure
// domains, the loss of two of them takes a smaller share of the servers.
func targetUtilization(domains int) float64 {
	lost := min(toleratedDomainLosses/float64(max(domains, 1)), maxLostShare)

	return maxUtilizationAfterLosses * (1 - lost)
}

// peaksOf returns the peaks of a service.
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

// Wanted returns the number of wanted servers of a service, and the number wanted within
// recentWindow.
func (p *Planner) Wanted(now time.Time, service fleet.Service) (wanted, recent int) {
	peaks := p.peaksOf(service)

	return peaks.highest(now, peakWindow), peaks.highest(now, recentWindow)
}

// Plans returns the current plans of all services, to be restored by the planner of the next
// duty holder.
func (p *Planner) Plans(now time.Time) []Plan {
	var plans []Plan

	for _, service := range slices.Sorted(maps.Keys(p.peaks)) {
		if wanted := p.peaks[service].highest(now, peakWindow); wanted > 0 {
			plans = append(plans, Plan{Service: service, Wanted: wanted})
		}
	}

	return plans
}

// Restore adds the plans of another planner. Without them, a planner that takes over after a
// restart of all instances would know only the load since the restart.
func (p *Planner) Restore(now time.Time, plans []Plan) {
	for _, plan := range plans {
		p.peaksOf(plan.Service).add(now, plan.Wanted)
	}
}
