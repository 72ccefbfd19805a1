package retry

import (
	"cmp"
	"time"
)

// BudgetPolicy holds the settings of budgets. A zero field selects its default.
type BudgetPolicy struct {
	// Window is the sliding window over which requests and retries are counted:
	// 10 s by default.
	Window time.Duration
	// Share is the number of retries and hedges allowed per request: 0.1 by default.
	Share float64
	// UnsentShare is the number of retries allowed per request for attempts that
	// were never sent: 1 by default. These attempts put no load on a server, and
	// the loss of a failure domain causes many of them.
	UnsentShare float64
	// MinRetries is the number of retries allowed in a window on top of the share of
	// its requests: 3 by default.
	MinRetries int
}

func (p BudgetPolicy) withDefaults() BudgetPolicy {
	p.Window = cmp.Or(p.Window, 10*time.Second)
	p.Share = cmp.Or(p.Share, 0.1)
	p.UnsentShare = cmp.Or(p.UnsentShare, 1)
	p.MinRetries = cmp.Or(p.MinRetries, 3)

	return p
}
