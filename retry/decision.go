package retry

import "time"

// Decision tells whether and when a call is tried again.
type Decision struct {
	reason Reason
	delay  time.Duration
}

// Retry tells whether the call is tried again.
func (d Decision) Retry() bool { return d.reason == None }

// Delay returns the wait before the next attempt.
func (d Decision) Delay() time.Duration { return d.delay }

// Reason returns why the call isn't tried again.
func (d Decision) Reason() Reason { return d.reason }
