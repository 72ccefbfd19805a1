package manifest

import "time"

// LatencyTarget is the latency that a call must meet; 0 stands for no target.
type LatencyTarget struct {
	wire wireLatencyTarget
}

// FirstToken returns the time from the request to the first token.
func (t LatencyTarget) FirstToken() time.Duration { return t.wire.FirstToken }

// BetweenTokens returns the time from one token to the next.
func (t LatencyTarget) BetweenTokens() time.Duration { return t.wire.BetweenTokens }

// Whole returns the time from the request to the end of the answer.
func (t LatencyTarget) Whole() time.Duration { return t.wire.Whole }
