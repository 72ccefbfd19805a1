package scheduling

import (
	"time"

	"monsoonlever/fleet"
)

// TotalPace returns the sum of the paces of a service's servers that accept requests, where 1 is the
// usual pace of the service. It reports false if they don't tell how long work takes at the moment;
// their paces are then taken as equal.
func (s *Scheduler) TotalPace(now time.Time, service fleet.Service) (float64, bool) {
	pool := s.serversFor(&Request{Service: service}, func(srv *server) bool { return !srv.isLeaving() })
	if len(pool) == 0 || s.pacesOf(now, service) == nil {
		return float64(len(pool)), false
	}

	total := 0.0
	for _, srv := range pool {
		total += srv.pace.overall()
	}

	return total, true
}

// timeToRead returns the expected time in which the server of the assignment reads tokens, or zero
// while its rate is unknown.
func (a *Assignment) timeToRead(tokens int64) time.Duration {
	rate := a.server.pace.readRate(a.pickedAt)
	if rate == 0 {
		rate = a.meter.medianReadRate()
	}

	if rate == 0 {
		return 0
	}

	return readTime(tokens, rate)
}

// readRate returns the rate in tokens a second at which the server is expected to read now, or zero
// while it is unknown.
func (p *serverPace) readRate(now time.Time) float64 {
	if !p.service.told(now) {
		return 0
	}

	return p.service.usual[reading].load() / p.timeFactor(now, reading)
}

// overall returns the pace over a longer time of the kind of work that is known of the server: engines that have read
// no long prompt yet may have written events, and plain servers only answer requests.
func (p *serverPace) overall() float64 {
	for _, kind := range []paceKind{reading, calling, writing} {
		if relative := p.longTerm[kind].load(); relative > 0 && relative != 1 {
			return relative
		}
	}

	return 1
}
