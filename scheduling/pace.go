package scheduling

import (
	"time"

	"monsoonlever/fleet"
)

// TotalPace returns the sum of the paces of a service's servers that accept requests, where 1 is the
// usual pace of the service. It reports false if they don't tell how long work takes at the moment;
// their paces are then taken as equal.
func (s *Scheduler) TotalPace(_ time.Time, service fleet.Service) (float64, bool) {
	return float64(len(s.serversFor(&Request{Service: service}, func(srv *server) bool { return !srv.isLeaving() }))), false
}

// timeToRead returns the expected time in which the server of the assignment reads tokens, or zero
// while its rate is unknown.
func (a *Assignment) timeToRead(tokens int64) time.Duration {
	rate := a.meter.medianReadRate()
	if rate == 0 {
		return 0
	}

	return readTime(tokens, rate)
}
