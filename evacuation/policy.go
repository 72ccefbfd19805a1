package evacuation

import (
	"time"

	"monsoonlever/fleet"
)

// Policy estimates the duration of an export and the cost of losing a cache.
type Policy struct {
	// BytesPerToken is the size of the KV cache of one token.
	BytesPerToken int
	// BytesPerSecond is this entry instance's share of the bandwidth of one
	// leaving server.
	BytesPerSecond int
	// Setup is the fixed duration of an export, apart from its transfer.
	Setup time.Duration
	// Margin is the time before the reclaim by which exports must have finished.
	Margin time.Duration
	// Rate is the cost of recomputing one token of a model; 0 counts as 1.
	Rate map[fleet.Model]float64
	// PriorityFactor multiplies the cost of losing a stream's cache once for
	// each priority level; 0 counts as 1.
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

// weightedCost returns the cost of recomputing a stream's cache, weighted by
// the stream's priority.
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
