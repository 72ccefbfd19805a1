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

	n, bound := len(s.Domains)*max(s.MinPerDomain, 1), Minimum
	// Reclaimable and on-demand servers replace each other, so that their sum would count servers
	// twice.
	present := max(onDemand, reclaimable)

	if load, by := p.wantedByLoad(now, s, present); load > n {
		n, bound = load, by
	}

	peaks := p.peaksOf(s.Service)
	if most := max(peaks.highest(now, peakWindow), present); s.Contradicted() && n > most {
		n, bound = most, Present
	}

	if peaks.empty() && present > n {
		// A new planner without restored plans does not know the earlier load, for which the
		// existing servers were ordered.
		n, bound = present, Present
	}

	if most := len(s.Domains) * s.MaxPerDomain; n > most {
		n, bound = most, Maximum
	}

	peaks.add(now, n, bound)

	return min(peaks.highest(now, peakWindow), len(s.Domains)*s.MaxPerDomain)
}

// wantedByLoad returns the number of servers for the current load, and what asks for it. The
// present servers are kept while the load is not known yet.
func (p *Planner) wantedByLoad(now time.Time, s ServiceState, present int) (int, Bound) {
	switch {
	case s.measured():
		return p.wantedByPace(now, s)
	case s.ServerRate > 0 && s.ArrivalRate > 0:
		return int(math.Ceil(s.ArrivalRate / (s.ServerRate * targetUtilization(len(s.Domains))))), Speed
	default:
		return present, Present
	}
}

// lostShare returns the share of the servers that the loss of two failure domains takes. With more
// failure domains it is smaller.
func lostShare(domains int) float64 {
	return min(toleratedDomainLosses/float64(max(domains, 1)), maxLostShare)
}

// targetUtilization returns the utilization of a server at the usual load.
func targetUtilization(domains int) float64 {
	return maxUtilizationAfterLosses * (1 - lostShare(domains))
}

// sustainedOf returns the needs of the last boot time of a service.
func (p *Planner) sustainedOf(service fleet.Service) *sustained {
	return stateOf(&p.sustained, service)
}

// peaksOf returns the peaks of a service.
func (p *Planner) peaksOf(service fleet.Service) *peaks { return stateOf(&p.peaks, service) }

// stateOf returns the state of a service, and creates it on first use.
func stateOf[T any](states *map[fleet.Service]*T, service fleet.Service) *T {
	if *states == nil {
		*states = make(map[fleet.Service]*T)
	}

	state := (*states)[service]
	if state == nil {
		state = new(T)
		(*states)[service] = state
	}

	return state
}

// Wanted returns the number of wanted servers of a service, and the number wanted within
// recentWindow.
func (p *Planner) Wanted(now time.Time, service fleet.Service) (wanted, recent int) {
	peaks := p.peaksOf(service)

	return peaks.highest(now, peakWindow), peaks.highest(now, recentWindow)
}

// Bound returns what decided the number of wanted servers of a service.
func (p *Planner) Bound(now time.Time, service fleet.Service) Bound {
	return p.peaksOf(service).highestPeak(now, peakWindow).bound
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
		p.peaksOf(plan.Service).add(now, plan.Wanted, Restored)
	}
}
