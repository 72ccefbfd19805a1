package admission

import "time"

// Verdict is the state of a request in admission.
type Verdict int

// The verdicts.
const (
	// Queued requests wait; it is the only verdict that is not final.
	Queued Verdict = iota
	// Admitted requests run and must be finished with Finish.
	Admitted
	// Refused requests did not run and will not.
	Refused
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Queued:
		return "queued"
	case Admitted:
		return "admitted"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Decision is the answer to one request.
type Decision struct {
	Verdict Verdict
	// Reason is set on a refusal.
	Reason Reason
	// RetryAfter is when to come back after a refusal.
	RetryAfter time.Duration
	// Waited is the time from arrival to the decision.
	Waited time.Duration
}
