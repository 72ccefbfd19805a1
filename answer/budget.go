package answer

import "time"

// RetryBudget bounds the extra load that attempts after a failure bring.
type RetryBudget interface {
	// Take draws one retry and tells whether there was one left.
	Take(now time.Time) bool
}
