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
	requests, totalSlots, reporting := 0, 0, 0

	for _, srv := range pool {
		reported, _, recent := srv.lastLoad(now)
		if serverSlots := srv.entry().Slots; recent && serverSlots > 0 {
			requests, totalSlots, reporting = requests+reported, totalSlots+serverSlots, reporting+1
		}
	}

	if reporting == 0 || float64(reporting) < minReportingShare*float64(len(pool)) {
		return 0, false
	}

	return float64(requests) / float64(totalSlots), true
}
