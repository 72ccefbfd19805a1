package gateway

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

// Observation is what there is to know of one request that ended.
type Observation struct {
	Account fleet.Account
	Service fleet.Service
	Kind    manifest.Call
	// FirstToken is the time to the first token, 0 if there was none.
	FirstToken time.Duration
	// BetweenTokens is the mean time from one token to the next.
	BetweenTokens time.Duration
	Duration      time.Duration
	Tokens        int
	// Recomputed counts tokens that were computed again after earlier work was lost.
	Recomputed int
	// Attempts counts the attempts at a model answer.
	Attempts int
	// Refused is nil for a whole answer.
	Refused *refusal.Refusal
	// CallerGone tells that nobody waited for the answer any longer.
	CallerGone bool
	// WriteTimedOut tells that the caller was cut because it did not read.
	WriteTimedOut bool
}

func (g *Gateway) observe(o Observation) {
	g.instruments.observe(o)

	if g.Observer != nil {
		g.Observer.Observe(o)
	}
}
