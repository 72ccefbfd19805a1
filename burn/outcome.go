package burn

// Outcome is how a request ended.
type Outcome int

// The outcomes.
const (
	// Answered requests got their whole answer.
	Answered Outcome = iota
	// Refused requests did not run.
	Refused
	// Failed requests ran, or may have, and got no whole answer.
	Failed
)
