package retry

import (
	"errors"
	"time"

	"monsoonlever/backend"
)

// Call is what is known of one call over its attempts. One goroutine at a time
// may use it.
type Call struct {
	scope            Scope
	idempotent       bool
	deadline         time.Time
	expectedDuration time.Duration

	failedAttempts int
	mayHaveRun     bool
	hedged         bool
}

// NewCall returns a call that was not attempted yet.
func NewCall(s Scope, idempotent bool) *Call {
	return &Call{scope: s, idempotent: idempotent}
}

// WithDeadline sets the time after which an answer is of no use.
func (c *Call) WithDeadline(deadline time.Time) *Call {
	c.deadline = deadline

	return c
}

// WithExpectedDuration sets how long an attempt is expected to take.
func (c *Call) WithExpectedDuration(expected time.Duration) *Call {
	c.expectedDuration = expected

	return c
}

// Idempotent tells whether the call may be repeated.
func (c *Call) Idempotent() bool { return c.idempotent }

// FailedAttempts returns how many attempts have failed.
func (c *Call) FailedAttempts() int { return c.failedAttempts }

// MayHaveRun tells whether an attempt that failed may have run. The caller is
// told "not run" only where this is false.
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// canFinish tells whether an attempt that begins at a time can be done before
// the deadline.
func (c *Call) canFinish(begin time.Time) bool {
	return c.deadline.IsZero() || !begin.Add(c.expectedDuration).After(c.deadline)
}

// recordFailure takes the error of an attempt in.
func (c *Call) recordFailure(err error) {
	c.failedAttempts++

	if !certainlyNotRun(err) {
		c.mayHaveRun = true
	}
}

// certainlyNotRun tells whether an attempt did not run and won't. A connection
// that ends without an answer doesn't say so: its request may have been read.
func certainlyNotRun(err error) bool {
	return errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrRefused)
}
