// Package refusal holds the one table of errors that callers are told.
//
// Each code says what status it travels with, whether the request ran, and
// whether the caller should come back. A refusal is final: it is told at once,
// with the time to come back, and nothing of the request goes on behind it.
//
// # Usage
//
//	r := refusal.New(refusal.Overloaded, "queue of ledger-llm is full").
//		WithRetryAfter(2 * time.Second)
//	r.Write(w)
//
// docs/errors.md is the reference page of the table.
package refusal

// RunState tells whether a refused request ran.
type RunState string

const (
	// NotRun means that nothing of the request reached a backend server, and
	// nothing of it will.
	NotRun RunState = "notRun"
	// NotStarted means that this attempt sent nothing, but that an earlier
	// attempt with the same idempotency key may have run.
	NotStarted RunState = "notStarted"
	// Unknown means that the request may have run, or may still run.
	Unknown RunState = "unknown"
	// Ran means that the request ran and its answer cannot be given.
	Ran RunState = "ran"
)
