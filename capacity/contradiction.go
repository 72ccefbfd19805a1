package capacity

const (
	// impossibleLoad is how many times what all servers read that has to arrive before it
	// is held against what they say: prompts then pile up at them within a second.
	impossibleLoad = 1.5
	// idleShare is the part of the servers' places below which nothing piles up there.
	idleShare = 0.5
)

// Contradicted tells whether the servers' own answers contradict the load: it would fill
// their places in no time, and most of these are free. What was told of the load, or
// measured of the servers' speed, is wrong then.
func (s ServiceState) Contradicted() bool {
	load := s.ServerRate * float64(s.servers())

	return s.OccupancyKnown && load > 0 && s.ArrivalRate > impossibleLoad*load && s.Occupancy < idleShare
}

// servers returns how many servers take requests.
func (s ServiceState) servers() int {
	n := 0
	for _, place := range s.Domains {
		n += place.OnDemand + place.Reclaimable
	}

	return n
}
