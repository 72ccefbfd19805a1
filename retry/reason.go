package retry

// Reason tells why a call isn't tried again.
type Reason int

// The reasons.
const (
	// None means that the call is tried again.
	None Reason = iota
	// MayHaveRun means that the call isn't idempotent and may have run.
	MayHaveRun
	// AttemptsExhausted means that the call was tried often enough.
	AttemptsExhausted
	// DeadlineTooClose means that another attempt can't finish before the deadline.
	DeadlineTooClose
	// BudgetExhausted means that the scope has had its share of retries.
	BudgetExhausted
)

// String returns the name of the reason as metrics show it.
func (r Reason) String() string {
	switch r {
	case None:
		return "none"
	case MayHaveRun:
		return "mayHaveRun"
	case AttemptsExhausted:
		return "noAttemptLeft"
	case DeadlineTooClose:
		return "tooLate"
	case BudgetExhausted:
		return "overBudget"
	default:
		return "unknown"
	}
}
