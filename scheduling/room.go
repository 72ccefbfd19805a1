package scheduling

import "time"

// NoRoomError means that all servers that could take a request announced that they accept none
// now: their limit is used up, or they requested a backoff.
type NoRoomError struct {
	// RetryAfter is the time until the caller should retry, at or after which the first of them
	// may have room.
	RetryAfter time.Duration
}

// Error includes RetryAfter.
func (e *NoRoomError) Error() string {
	return "servers take no more requests for now by what they announced, try again in " + e.RetryAfter.String()
}
