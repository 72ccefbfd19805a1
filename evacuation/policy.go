package evacuation

import (
	"time"

	"monsoonlever/fleet"
)

// Policy tells what an export costs and what it is worth.
type Policy struct {
	// BytesPerToken is the size of the KV cache of a token.
	BytesPerToken int
	// BytesPerSecond is this entry instance's share of the bandwidth of one
	// leaving server.
	BytesPerSecond int
	// Setup is the time that an export takes beside its bytes.
	Setup time.Duration
	// Margin is kept free at the end of a notice.
	Margin time.Duration
	// Rate is the cost of recomputing one token of a model; 0 counts as 1.
	Rate map[fleet.Model]float64
	// PriorityFactor multiplies the worth of a stream for each step of
	// priority; 0 counts as 1.
	PriorityFactor float64
}

// duration returns how long the export of a stream takes.
func (p Policy) duration(s Stream) time.Duration {
	if p.BytesPerSecond <= 0 {
		return p.Setup
	}

	seconds := float64(s.Tokens) * float64(p.BytesPerToken) / float64(p.BytesPerSecond)

	return p.Setup + time.Duration(seconds*float64(time.Second))
}

// weightedCost returns what the loss of a stream's cache would cost.
func (p Policy) weightedCost(s Stream) float64 {
	rate := p.Rate[s.Model]
	if rate == 0 {
		rate = 1
	}

	factor := p.PriorityFactor
	if factor == 0 {
		factor = 1
	}

	worth := rate * float64(s.Tokens)
	for range s.Priority {
		worth *= factor
	}

	return worth
}
