package scheduling

import (
	"time"

	"monsoonlever/fleet"
)

// minReportingShare is the part of a service's servers that have to have told their load of late
// for all to be judged by it.
const minReportingShare = 0.5

// Utilization returns the part of the places of a service's servers that is in use or waited for,
// and whether most of them have told their load of late.
func (s *Scheduler) Utilization(now time.Time, service fleet.Service) (float64, bool) {
	pools := s.pools.Load()
	if pools == nil {
		return 0, false
	}

	pool := (*pools)[service]
	requests, places, known := 0, 0, 0

	for _, one := range pool {
		reported, _, recent := one.lastLoad(now)
		if serverSlots := one.entry().Slots; recent && serverSlots > 0 {
			requests, places, known = requests+reported, places+serverSlots, known+1
		}
	}

	if known == 0 || float64(known) < minReportingShare*float64(len(pool)) {
		return 0, false
	}

	return float64(requests) / float64(places), true
}
