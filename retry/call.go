package retry

import (
	"errors"
	"time"

	"monsoonlever/backend"
)

// Call is the state of one call over all its attempts. It is not safe for
// concurrent use.
type Call struct {
	scope            Scope
	idempotent       bool
	deadline         time.Time
	expectedDuration time.Duration

	failedAttempts int
	mayHaveRun     bool
	hedged         bool
}

// NewCall returns a call without attempts.
func NewCall(s Scope, idempotent bool) *Call {
	return &Call{scope: s, idempotent: idempotent}
}

// WithDeadline sets the time by which the caller needs the answer, and returns c.
// A call without it has no deadline.
func (c *Call) WithDeadline(deadline time.Time) *Call {
	c.deadline = deadline

	return c
}

// WithExpectedDuration sets how long an attempt is expected to take, and returns c.
func (c *Call) WithExpectedDuration(expected time.Duration) *Call {
	c.expectedDuration = expected

	return c
}

// Idempotent reports whether the call is idempotent.
func (c *Call) Idempotent() bool { return c.idempotent }

// FailedAttempts returns the number of failed attempts.
func (c *Call) FailedAttempts() int { return c.failedAttempts }

// MayHaveRun reports whether a server may have run a failed attempt. Only if it is
// false may the caller get the result "not run".
func (c *Call) MayHaveRun() bool { return c.mayHaveRun }

// canFinish reports whether an attempt that begins at the given time is expected to
// finish before the deadline.
func (c *Call) canFinish(begin time.Time) bool {
	return c.deadline.IsZero() || !begin.Add(c.expectedDuration).After(c.deadline)
}

// recordFailure counts a failed attempt and updates MayHaveRun from its error.
func (c *Call) recordFailure(err error) {
	c.failedAttempts++

	if !certainlyNotRun(err) {
		c.mayHaveRun = true
	}
}

// certainlyNotRun reports whether err proves that the attempt has not run and never
// will. A connection that closes without an answer proves nothing: the server may
// have read the request.
func certainlyNotRun(err error) bool {
	return errors.Is(err, backend.ErrNotSent) || errors.Is(err, backend.ErrRefused)
}
