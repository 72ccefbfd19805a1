package capacity

const (
	// impossibleLoadFactor is how many times what all servers read that has to arrive before it
	// is held against what they say: prompts then pile up at them within a second.
	impossibleLoadFactor = 1.5
	// idleOccupancy is the part of the servers' places below which nothing piles up there.
	idleOccupancy = 0.5
)

// Contradicted tells whether the servers' own answers contradict the load: it would fill
// their places in no time, and most of these are free. What was told of the load, or
// measured of the servers' speed, is wrong then.
func (s ServiceState) Contradicted() bool {
	serviceRate := s.ServerRate * float64(s.serverCount())

	return s.OccupancyKnown && serviceRate > 0 && s.ArrivalRate > impossibleLoadFactor*serviceRate && s.Occupancy < idleOccupancy
}

// serverCount returns how many serverCount take requests.
func (s ServiceState) serverCount() int {
	n := 0
	for _, domain := range s.Domains {
		n += domain.OnDemand + domain.Reclaimable
	}

	return n
}
