package answer

// Drops counts the stream events that a Relay did not take.
type Drops struct {
	// Late counts events of an earlier attempt.
	Late int
	// Crossed counts events of an attempt that is not this request's.
	Crossed int
	// Repeated counts tokens at an offset that was forwarded before.
	Repeated int
}
