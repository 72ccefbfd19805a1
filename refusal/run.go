// Package refusal defines the errors that callers receive.
//
// Each code has an HTTP status and a run state, which says whether the request
// ran. A refusal is final: it is sent immediately, with the time after which the
// caller may retry, and the refused request is not processed any further.
//
// # Usage
//
//	r := refusal.New(refusal.Overloaded, "queue of ledger-llm is full").
//		WithRetryAfter(2 * time.Second)
//	r.Write(w)
//
// docs/errors.md is the reference page of the codes.
package refusal

// RunState says whether a refused request ran.
type RunState string

const (
	// NotRun means that the request did not run on a backend server and never will.
	NotRun RunState = "notRun"
	// NotStarted means that this attempt was not sent to a backend server, but that an
	// earlier attempt with the same idempotency key may have run.
	NotStarted RunState = "notStarted"
	// Unknown means that the request may have run, or may still run.
	Unknown RunState = "unknown"
	// Ran means that the request ran, but that its answer is not available.
	Ran RunState = "ran"
)
