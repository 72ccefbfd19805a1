package admission

import (
	"time"

	"monsoonlever/fleet"
)

// Request is what a decision needs to know of a request. It is built by the
// path of a request and not changed after Admit.
type Request struct {
	Service  fleet.Service
	Account  fleet.Account
	Kind     fleet.CallKind
	Priority fleet.Priority
	// Deadline is the time after which the answer is of no use; zero is none.
	Deadline time.Time
	// Bytes is the memory the request holds while it is queued.
	Bytes int64
	// Tokens is the estimate of prompt and answer tokens; zero for plain calls.
	Tokens int
}

// Outcome is what Finish is told of a request that ran. Its times count from
// the arrival of the request; the time in the queue is taken off by Finish, as
// it says nothing of the backend servers.
type Outcome struct {
	// Latency is what the target of the kind of call is about: the time to the
	// first token of a model call, or the whole time of a plain one.
	Latency time.Duration
	// Duration is the time to the end of the answer.
	Duration time.Duration
	// Tokens is the real number of prompt and answer tokens.
	Tokens int
	// Overloaded tells that a backend server refused the call for load.
	Overloaded bool
}
