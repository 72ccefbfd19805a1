package retry

import "time"

// Decision tells whether and when a call is tried again.
type Decision struct {
	reason Reason
	after  time.Duration
}

// Again tells whether the call is tried again.
func (d Decision) Again() bool { return d.reason == None }

// After returns the wait before the next attempt.
func (d Decision) After() time.Duration { return d.after }

// Reason returns why the call isn't tried again.
func (d Decision) Reason() Reason { return d.reason }
