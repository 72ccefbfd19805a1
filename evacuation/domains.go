package evacuation

import (
	"time"

	"monsoonlever/fleet"
)

// SetDomains replaces the regions, sizes and prices of the failure domains.
func (s *ExportScheduler) SetDomains(domains map[fleet.FailureDomain]DomainInfo) {
	s.step(func(time.Time) { s.Coordinator.Planner.Wave.Domains = domains })
}
