package scheduling

import (
	"math/rand/v2"
	"time"
)

const (
	// laterCost is the part of uncachedTokenCost that stands for the delay of later requests.
	laterCost = uncachedTokenCost - 1
	// fullCost is the cost of a server without a free slot, in prompt tokens: more than a prompt at the
	// slowest server. When an answer ends there is not known, so that no pace makes up for it.
	fullCost = 200_000
	// latePauseCost is the cost of a server whose pauses between events reach the objective of a
	// stream, in prompt tokens: more than any prompt, so that another one is used unless all are busy.
	latePauseCost = 20_000
	// earlyPauseFraction is the fraction of the objective from which longer pauses cost: they vary
	// by about a factor of two from stream to stream.
	earlyPauseFraction = 0.5
	// maxPauses bounds the cost of pauses, so that one server is still preferred to another where all
	// are too slow.
	maxPauses = 3
)

// pacedCost returns the cost of work in the time that it takes on the server now, in units of a usual
// server. It returns the same cost where the servers of the service don't tell their slowness.
//
// The delay of later requests, which uncachedTokenCost includes, is not less on a fast server: it
// reads the tokens sooner, but gets more requests in that time.
func (s *server) pacedCost(now time.Time, cost float64, uncached int, full bool) float64 {
	if !s.pace.service.told(now) {
		return cost
	}

	if full {
		cost += fullCost
	}

	if uncached == 0 {
		// The work of the request itself takes longer on a slower server, too.
		return (cost + requestCost) * s.pace.placingFactor(now, calling)
	}

	later := laterCost * float64(uncached)

	return later + (cost-later)*s.pace.placingFactor(now, reading)
}

// pauseCost returns the cost of the pauses between events that a stream is expected to have at the
// server, if the caller has an objective for them.
func (s *server) pauseCost(now time.Time, r *Request) float64 {
	if r.GapObjective <= 0 {
		return 0
	}

	pause := s.pace.expectedPause(now)
	excess := pause.Seconds()/r.GapObjective.Seconds() - earlyPauseFraction

	return latePauseCost * min(max(excess/(1-earlyPauseFraction), 0), maxPauses)
}

// expectedPause returns the longest pause between two events that a stream at the server is expected
// to have, or zero while it is unknown.
func (p *serverPace) expectedPause(now time.Time) time.Duration {
	if !p.service.told(now) {
		return 0
	}

	rate := p.service.usual[writing].load()
	if rate == 0 {
		return 0
	}

	return time.Duration(p.service.pauseRatio() * p.timeFactor(now, writing) / rate * float64(time.Second))
}

// accepted draws whether a server that was drawn among servers of equal chances becomes a candidate,
// so that candidates are drawn in proportion to their paces.
func (p *servicePace) accepted(srv *server) bool {
	if p == nil {
		return true
	}

	fastest := p.fastest.load()

	return rand.Float64()*fastest < srv.pace.drawWeight(fastest)
}

// maxDrawFactor returns how many more draws are needed because some are not accepted.
func (p *servicePace) maxDrawFactor() int {
	if p == nil {
		return 1
	}

	return 3
}
