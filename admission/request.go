package admission

import (
	"time"

	"monsoonlever/fleet"
)

// Request holds the properties of a request that admission depends on. It must not be changed after
// Admit.
type Request struct {
	Service  fleet.Service
	Account  fleet.Account
	Kind     fleet.CallKind
	Priority fleet.Priority
	// Deadline is the time after which the response is of no use; zero means none.
	Deadline time.Time
	// Bytes is the memory that the request holds while it is queued.
	Bytes int64
	// Tokens is the estimated number of prompt and answer tokens; zero for plain calls.
	Tokens int
}

// Outcome is the result of a request that ran. Its durations count from the arrival of the request;
// Finish subtracts the time in the queue, which does not depend on the latency of the backend
// servers.
type Outcome struct {
	// Latency is the duration to which the target of the kind of call applies: the time to the
	// first token of a model call, or the whole duration of a plain call.
	Latency time.Duration
	// Duration is the time to the end of the answer.
	Duration time.Duration
	// Tokens is the actual number of prompt and answer tokens.
	Tokens int
	// Overloaded reports that a backend server rejected the call because of its load.
	Overloaded bool
}
