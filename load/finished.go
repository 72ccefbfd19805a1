package load

import (
	"time"

	"monsoonlever/refusal"
)

// finished is what came of one call.
type finished struct {
	ending Ending
	code   refusal.Code
	run    refusal.RunState
	// retryAfter is what a refusal told.
	retryAfter time.Duration
	detail     string

	firstToken    time.Duration
	betweenTokens time.Duration
	whole         time.Duration
	tokens        int
	attempts      int
}

// excused are refusals that the caller is the cause of.
func (f *finished) excused() bool {
	switch f.code {
	case refusal.LimitExceeded, refusal.BadRequest, refusal.Unauthorized, refusal.Forbidden,
		refusal.KeyRequired, refusal.KeyReused, refusal.BodyTooLarge:
		return true
	default:
		return false
	}
}

// unsure tells whether a keyed call may be sent again to learn its outcome.
func (f *finished) unsure() bool {
	switch f.ending {
	case Lost, Cut, Unreached:
		return true
	case Failed:
		return f.run == refusal.Unknown
	case Refused:
		return f.run == refusal.NotStarted
	default:
		return false
	}
}
