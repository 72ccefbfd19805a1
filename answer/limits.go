package answer

import "time"

// Limits bounds the waits of an answer.
type Limits struct {
	// FirstStall and Stall bound the wait for the first and the next token of
	// an attempt.
	FirstStall time.Duration
	Stall      time.Duration
	// Patience bounds the wait for a server while there is none, and Backoff
	// is the time between two looks for one. FirstPatience bounds it for an
	// answer that no server has begun: its caller loses nothing by coming back.
	Patience      time.Duration
	FirstPatience time.Duration
	Backoff       time.Duration
	// Failures is how many attempts may fail without notice. It bounds what a
	// prompt that breaks every engine can break.
	Failures int
	// MoveMargin is how long before a reclaim the answer moves without KV.
	MoveMargin time.Duration
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// DefaultLimits returns limits for tokens that are at most 70 ms apart.
func DefaultLimits() Limits {
	return Limits{
		FirstStall:    15 * time.Second,
		Stall:         3 * time.Second,
		Patience:      20 * time.Second,
		FirstPatience: 2 * time.Second,
		Backoff:       200 * time.Millisecond,
		Failures:      5,
		MoveMargin:    500 * time.Millisecond,
		RetryAfter:    5 * time.Second,
	}
}
