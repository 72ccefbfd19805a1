package retry

// Reason tells why a call isn't tried again.
type Reason int

// The reasons.
const (
	// None means that the call is tried again.
	None Reason = iota
	// MayHaveRun means that the call isn't idempotent and may have run.
	MayHaveRun
	// NoAttemptLeft means that the call was tried often enough.
	NoAttemptLeft
	// TooLate means that another attempt can't finish before the deadline.
	TooLate
	// OverBudget means that the scope has had its share of retries.
	OverBudget
)

// String returns the name of the reason as metrics show it.
func (r Reason) String() string {
	switch r {
	case None:
		return "none"
	case MayHaveRun:
		return "mayHaveRun"
	case NoAttemptLeft:
		return "noAttemptLeft"
	case TooLate:
		return "tooLate"
	case OverBudget:
		return "overBudget"
	default:
		return "unknown"
	}
}
