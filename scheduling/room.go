package scheduling

import "time"

// NoRoomError means that all servers that could take a request announced that they take
// none for now: they have had as many as their limit allows, or asked for backoff.
type NoRoomError struct {
	// RetryAfter is when the first of them may have room.
	RetryAfter time.Duration
}

// Error says when there may be room.
func (e *NoRoomError) Error() string {
	return "servers take no more requests for now by what they announced, try again in " + e.RetryAfter.String()
}
