package evacuation

import (
	"time"

	"monsoonlever/fleet"
)

// SetDomains replaces the regions, sizes and prices of the failure domains.
func (d *ExportScheduler) SetDomains(places map[fleet.FailureDomain]DomainInfo) {
	d.step(func(time.Time) { d.Coordinator.Planner.Wave.Domains = places })
}
