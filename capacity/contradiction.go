package capacity

const (
	// impossibleLoadFactor is the ratio of the arriving work to the service rate of all
	// servers above which the load is checked against their occupancy: at this ratio, prompts
	// would queue at the servers within a second.
	impossibleLoadFactor = 1.5
	// idleOccupancy is the occupancy below which no prompts are queueing at the servers.
	idleOccupancy = 0.5
)

// Contradicted reports whether the occupancy that the servers report contradicts the load: the
// load would fill their slots almost immediately, but most slots are free. Then the reported
// load or the measured server rate is wrong.
func (s ServiceState) Contradicted() bool {
	arriving, rate := s.ArrivalRate, s.ServerRate
	if s.measured() {
		arriving, rate = s.ReadArrivalRate, s.readRate()
	}

	serviceRate := rate * float64(s.serverCount())

	return s.OccupancyKnown && serviceRate > 0 && arriving > impossibleLoadFactor*serviceRate && s.Occupancy < idleOccupancy
}

// serverCount returns the number of servers that accept requests.
func (s ServiceState) serverCount() int {
	n := 0
	for _, domain := range s.Domains {
		n += domain.OnDemand + domain.Reclaimable
	}

	return n
}
