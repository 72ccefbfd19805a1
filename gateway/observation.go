package gateway

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/refusal"
)

// Observation describes one finished request.
type Observation struct {
	Account fleet.Account
	Service fleet.Service
	Kind    manifest.Call
	// FirstToken is the time to the first token, 0 if there was none.
	FirstToken time.Duration
	// BetweenTokens is the mean interval between tokens, 0 for fewer than two.
	BetweenTokens time.Duration
	Duration      time.Duration
	Tokens        int
	// Recomputed is the number of tokens that were computed again after an earlier
	// attempt failed.
	Recomputed int
	// Attempts is the number of attempts at a model answer.
	Attempts int
	// Refused is nil for a complete answer.
	Refused *refusal.Refusal
	// CallerGone reports that the caller disconnected before the end of the answer.
	CallerGone bool
	// WriteTimedOut reports that the caller was disconnected because it did not read
	// its response within the write timeout.
	WriteTimedOut bool
}

func (g *Gateway) observe(o Observation) {
	g.instruments.observe(o)

	if g.Observer != nil {
		g.Observer.Observe(o)
	}
}
