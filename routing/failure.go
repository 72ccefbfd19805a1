package routing

// Failure is the kind of a failed call.
type Failure int

// The kinds of failed calls.
const (
	// FailDial means that no connection was made; it counts at once.
	FailDial Failure = iota
	// FailRefused means that the server refused the call before running it.
	FailRefused
	// FailReset means that the connection broke, or an answer ended early.
	FailReset
	// FailTimeout means that no answer came in time.
	FailTimeout
	// FailServer means that the server answered with a fault of its own.
	FailServer
	// FailCancelled means that the caller gave up; it says nothing of the server.
	FailCancelled
)
