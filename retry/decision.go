package retry

import "time"

// Decision says whether and when a call is retried.
type Decision struct {
	reason Reason
	delay  time.Duration
}

// Retry reports whether the call is retried.
func (d Decision) Retry() bool { return d.reason == None }

// Delay returns the time to wait before the next attempt.
func (d Decision) Delay() time.Duration { return d.delay }

// Reason returns why the call is not retried, or None if it is.
func (d Decision) Reason() Reason { return d.reason }
