package scheduling

import (
	"time"

	"monsoonlever/fleet"
)

// minReportingShare is the fraction of a service's servers that must have a recent load report
// for the utilization to be known.
const minReportingShare = 0.5

// Utilization returns the ratio of running and waiting requests to slots over the servers of a
// service that reported recently, and reports whether enough of them did.
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
