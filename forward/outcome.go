package forward

import (
	"time"

	"monsoonlever/quarantine"
)

// Reason says how a request ended.
type Reason int

// The reasons.
const (
	// Answered requests got a backend server's answer.
	Answered Reason = iota
	// NoRules means that this instance has no rules yet.
	NoRules
	// StaleRules means that the rules may have changed since they were read.
	StaleRules
	// NoRoute means that no route fits host and path.
	NoRoute
	// Unauthorized means that the key is not held by a client account.
	Unauthorized
	// OverLimit means that the client account has used up its limit.
	OverLimit
	// NoServer means that no backend server could take the request.
	NoServer
	// Overloaded means that the backend servers had no room.
	Overloaded
	// TimedOut means that the time of the caller or the route is over.
	TimedOut
	// ResponseLost means that a backend server's answer did not come or was garbled.
	ResponseLost
	// StreamBroken means that a stream ended before its end.
	StreamBroken
	// Quarantined means that backend servers have ended under the request, whichever its
	// id, and that it is held off.
	Quarantined
	// CallerGone means that the caller has left.
	CallerGone

	reasons
)

var reasonNames = [reasons]string{
	"answered", "noRules", "staleRules", "noRoute", "unauthorized", "overLimit", "noServer", "overloaded",
	"timedOut", "lost", "broken", "quarantined", "callerGone",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Refusal is a final answer that is not a backend server's.
type Refusal struct {
	Reason Reason
	// NotRun promises that the request has not run and never will.
	NotRun bool
	// RetryAfter is when to come back; zero says nothing.
	RetryAfter time.Duration
	// Cause is the error behind it, for logs.
	Cause string
}

func notRunRefusal(reason Reason, retryAfter time.Duration) *Refusal {
	return &Refusal{Reason: reason, NotRun: true, RetryAfter: retryAfter}
}

// Outcome is what became of a request.
type Outcome struct {
	Reason  Reason
	NotRun  bool
	Cause   string
	Route   string
	Account string
	// Fingerprint is what the request asks for, alike for all attempts of its caller; zero
	// where the account was not found.
	Fingerprint quarantine.Fingerprint
	// RulesVersion is the version that the request was judged by, and RulesAge how long ago it
	// was confirmed at the end.
	RulesVersion uint64
	RulesAge     time.Duration
	// Servers are the backend servers it was sent to, in order.
	Servers []string
	// Events is the number of events that were relayed.
	Events int
	// Queued is how long it was held back while servers were busy.
	Queued   time.Duration
	Duration time.Duration
}
