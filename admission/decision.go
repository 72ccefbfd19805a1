package admission

import "time"

// Verdict is the state of a request in admission.
type Verdict int

// The verdicts.
const (
	// Queued requests wait for a slot. It is the only verdict that is not final.
	Queued Verdict = iota
	// Admitted requests run. Their caller must call Controller.Finish.
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

// Decision is the result of admission for one request.
type Decision struct {
	Verdict Verdict
	// Reason is why the request was refused.
	Reason Reason
	// RetryAfter is the delay after which to retry a refused request.
	RetryAfter time.Duration
	// Waited is the time from arrival to the decision.
	Waited time.Duration
}
