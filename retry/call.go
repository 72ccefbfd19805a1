package retry

import (
	"errors"
	"time"

	"monsoonlever/backend"
)

// Call is what is known of one call over its attempts. One goroutine at a time
// may use it.
type Call struct {
	scope      Scope
	idempotent bool
	deadline   time.Time
	expected   time.Duration

	failed     int
	mayHaveRun bool
	hedged     bool
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

// WithExpected sets how long an attempt is expected to take.
func (c *Call) WithExpected(expected time.Duration) *Call {
	c.expected = expected

	return c
}

// Idempotent tells whether the call may be repeated.
func (c *Call) Idempotent() bool { return c.idempotent }

// Failed returns how many attempts have failed.
func (c *Call) Failed() int { return c.failed }

// MayHaveRun tells whether an attempt that failed may have run. The caller is
// told "not run" only where this is false.
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// canFinish tells whether an attempt that begins at a time can be done before
// the deadline.
func (c *Call) canFinish(begin time.Time) bool {
	return c.deadline.IsZero() || !begin.Add(c.expected).After(c.deadline)
}

// note takes the error of an attempt in.
func (c *Call) note(err error) {
	c.failed++

	if !certainlyNotRun(err) {
		c.mayHaveRun = true
	}
}

// certainlyNotRun tells whether an attempt did not run and won't. A connection
// that ends without an answer doesn't say so: its request may have been read.
func certainlyNotRun(err error) bool {
	return errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrRefused)
}
