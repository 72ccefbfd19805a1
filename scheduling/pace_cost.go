package scheduling

import (
	"math/rand/v2"
	"time"
)

const (
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

// timeFactor returns how long the work of a request takes on the server now, relative to a usual one.
// It is 1 where the servers of the service don't tell their slowness.
func (s *server) timeFactor(now time.Time, hasPrompt bool) float64 {
	if !s.pace.service.told(now) {
		return 1
	}

	if hasPrompt {
		return s.pace.timeFactor(now, reading)
	}

	return s.pace.timeFactor(now, calling)
}

// ownCallCost returns the cost of the work of a request without a prompt itself, which differs only
// where servers have different paces.
func (s *server) ownCallCost(now time.Time, hasPrompt bool) float64 {
	if hasPrompt || !s.pace.service.told(now) {
		return 0
	}

	return requestCost
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
