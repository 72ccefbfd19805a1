package routing

// Failure is the kind of failure of a call to a backend server.
type Failure int

// The kinds of failures.
const (
	// FailDial means that no connection could be established. A single one makes the
	// server an outlier, without a minimum number of samples.
	FailDial Failure = iota
	// FailRefused means that the server refused the call before executing it.
	FailRefused
	// FailReset means that the connection broke, or the answer ended prematurely.
	FailReset
	// FailTimeout means that no answer arrived before the timeout.
	FailTimeout
	// FailServer means that the server responded with a server error.
	FailServer
	// FailCancelled means that the caller cancelled the call. It doesn't count against
	// the server.
	FailCancelled
)
