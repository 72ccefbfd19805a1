package scheduling

import (
	"time"

	"k8s.io/klog/v2"

	"monsoonlever/fleet"
)

// choiceLogLevel is the verbosity from which the expected times of all candidates are logged.
const choiceLogLevel = 2

// candidateTime is the expected time of a request at one candidate.
type candidateTime struct {
	Server fleet.InstanceID `json:"server"`
	// Cost is in prompt tokens of a usual server, and Time that until the first event.
	Cost     float64       `json:"cost"`
	Time     time.Duration `json:"time"`
	Pause    time.Duration `json:"pause"`
	Pace     float64       `json:"pace"`
	Slowness float64       `json:"slowness"`
	Uncached int           `json:"uncached"`
}

// logChoice logs the expected times of the candidates at debug level, where paces are known.
func (p *servicePace) logChoice(a *Assignment, candidates []candidateTime) {
	klog.InfoS("server chosen by expected time", "service", a.server.entry().Service, "server", a.ID(),
		"tokens", a.prompt.Tokens, "persistence", p.persistenceTime(), "candidates", candidates)
}

// logsChoices reports whether the expected times of candidates are logged.
func (p *servicePace) logsChoices() bool { return p != nil && klog.V(choiceLogLevel).Enabled() }

// candidateTime returns the expected time of a request at the server.
func (s *server) candidateTime(now time.Time, cost float64, uncached int) candidateTime {
	c := candidateTime{
		Server: s.entry().ID, Cost: cost, Pause: s.pace.expectedPause(now), Pace: s.pace.of(reading),
		Slowness: s.pace.expectedSlowness(now), Uncached: uncached,
	}

	if rate := s.pace.readRate(now); rate > 0 {
		c.Time = readTime(s.pendingTokens.Load()+s.remotePending(now)+int64(uncached), rate)
	}

	return c
}
