package retry

// Reason is the reason why a call is not retried.
type Reason int

// The reasons.
const (
	// None means that the call is retried.
	None Reason = iota
	// MayHaveRun means that the call is not idempotent and may have run.
	MayHaveRun
	// AttemptsExhausted means that the call has had Policy.MaxAttempts attempts.
	AttemptsExhausted
	// DeadlineTooClose means that another attempt is not expected to finish before the
	// deadline.
	DeadlineTooClose
	// BudgetExhausted means that the budget of the scope allows no retry now.
	BudgetExhausted
)

// String returns the name of the reason in metrics.
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
