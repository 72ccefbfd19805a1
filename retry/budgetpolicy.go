package retry

import (
	"cmp"
	"time"
)

// BudgetPolicy holds the settings of budgets. A zero field stands for its default.
type BudgetPolicy struct {
	// Window is the span over which requests and retries are counted.
	Window time.Duration
	// Share is how many retries and hedges there may be for each request.
	Share float64
	// UnsentShare is the same for retries of attempts that were never sent.
	// They load no server, and the loss of a failure domain makes many of them.
	UnsentShare float64
	// MinRetries is how many retries there may be in a window however few requests
	// there are.
	MinRetries int
}

func (p BudgetPolicy) withDefaults() BudgetPolicy {
	p.Window = cmp.Or(p.Window, 10*time.Second)
	p.Share = cmp.Or(p.Share, 0.1)
	p.UnsentShare = cmp.Or(p.UnsentShare, 1)
	p.MinRetries = cmp.Or(p.MinRetries, 3)

	return p
}
