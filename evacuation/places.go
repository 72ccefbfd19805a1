package evacuation

import (
	"time"

	"monsoonlever/fleet"
)

// SetPlaces replaces what is known of the failure domains.
func (d *ExportScheduler) SetPlaces(places map[fleet.FailureDomain]DomainInfo) {
	d.do(func(time.Time) { d.Coordinator.Planner.Wave.Places = places })
}
