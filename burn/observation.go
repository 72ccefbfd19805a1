package burn

import (
	"time"

	"monsoonlever/fleet"
)

// Observation is one finished request.
type Observation struct {
	Service fleet.Service
	Account fleet.Account
	Kind    fleet.CallKind
	// FirstToken is the time to the first token of a model call.
	FirstToken time.Duration
	// BetweenTokens is the 95th percentile of the times between tokens.
	BetweenTokens time.Duration
	// Whole is the time to the end of the answer.
	Whole   time.Duration
	Outcome Outcome
	// Reason is why a request was refused.
	Reason string
	// Excused tells that the caller is the cause, as with an account over its
	// limits or a caller who went away. Such requests are outside the objective.
	Excused bool
	// Tokens is the tokens of the answer, RecomputedTokens those that were
	// computed more than once since earlier work was lost.
	Tokens           int
	RecomputedTokens int
}
