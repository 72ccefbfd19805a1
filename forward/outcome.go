package forward

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/quarantine"
)

// Reason is the reason why a request ended.
type Reason int

// The reasons.
const (
	// Answered means that the caller got a backend server's response.
	Answered Reason = iota
	// NoRules means that this instance has no rules yet.
	NoRules
	// StaleRules means that this instance can't confirm that its rules are current, or that
	// the rules changed and no longer allow the request.
	StaleRules
	// NoRoute means that no route matches the host and path.
	NoRoute
	// Unauthorized means that the API key belongs to no client account.
	Unauthorized
	// OverLimit means that the limit of the client account is exhausted.
	OverLimit
	// NoServer means that the service has no backend server that accepts the request.
	NoServer
	// Overloaded means that the backend servers have no capacity for the request.
	Overloaded
	// TimedOut means that the timeout of the caller or the route has passed.
	TimedOut
	// ResponseLost means that a backend server may have run the request, but no valid response
	// was received.
	ResponseLost
	// StreamBroken means that a stream of which the caller has the header could not be completed.
	StreamBroken
	// Quarantined means that requests of the same content crashed several backend servers, and
	// that the request is refused for a time.
	Quarantined
	// CallerGone means that the caller disconnected.
	CallerGone
	// UnknownStream means that the caller resumes a stream of which no instance remembers the server
	// version that began it.
	UnknownStream
	// Stopping means that this instance stops before the request could end.
	Stopping

	reasons
)

var reasonNames = [reasons]string{
	"answered", "noRules", "staleRules", "noRoute", "unauthorized", "overLimit", "noServer", "overloaded",
	"timedOut", "lost", "broken", "quarantined", "callerGone", "unknownStream", "stopping",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if !r.Valid() {
		return "unknown"
	}

	return reasonNames[r]
}

// Valid reports whether r is one of the reasons.
func (r Reason) Valid() bool { return r >= 0 && r < reasons }

// Refusal is a final answer by this instance instead of a backend server's response.
type Refusal struct {
	Reason Reason
	// NotRun guarantees that the request has not run and never will.
	NotRun bool
	// RetryAfter is the time after which the caller may retry; zero leaves it out.
	RetryAfter time.Duration
	// Cause is the underlying error, for logs.
	Cause string
}

// notRunRefusal returns the refusal of a request that was not sent to any server.
func notRunRefusal(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Reason: reason, NotRun: true, RetryAfter: retryAfter}
}

// Outcome describes how a request ended.
type Outcome struct {
	Reason  Reason
	NotRun  bool
	Cause   string
	Route   string
	Account string
	// Fingerprint identifies the content of the request and is the same for all attempts of
	// its caller; zero if the request was not authorized.
	Fingerprint quarantine.Fingerprint
	// RulesVersion is the version of the rules under which the request was accepted, and
	// RulesAge the time since the rules were last confirmed as current, at the end of the
	// request.
	RulesVersion uint64
	RulesAge     time.Duration
	// Servers are the backend servers to which the request was sent, in order.
	Servers []string
	// Versions are the versions of those servers, without those of servers to which another
	// instance sent the request.
	Versions []fleet.Version
	// Retries is the number of attempts that the budget of retries granted.
	Retries int
	// Events is the number of relayed events.
	Events int
	// Queued is how long the request waited for the scheduler to place it.
	Queued time.Duration
	// Duration is the time from the arrival of the request to its end.
	Duration time.Duration
}
