package manifest

import (
	"time"

	"monsoonlever/fleet"
)

// Call is a kind of call of a service with what it must meet.
type Call struct {
	wire      *wireCall
	keyWindow time.Duration
}

// Name returns the name of the kind of call.
func (c Call) Name() fleet.CallKind { return c.wire.Name }

// Method returns the HTTP method, empty for a model service.
func (c Call) Method() string { return c.wire.Method }

// Path returns the path pattern, empty for a model service.
func (c Call) Path() string { return c.wire.Path }

// Idempotent tells whether the call may run more than once.
func (c Call) Idempotent() bool { return isIdempotent(c.wire) }

// Priority returns the priority before the account's ceiling.
func (c Call) Priority() fleet.Priority { return c.wire.Priority }

// LatencyTarget returns the latency that the call must meet.
func (c Call) LatencyTarget() LatencyTarget { return LatencyTarget{wire: c.wire.LatencyTarget} }

// Objective returns the share of calls that must meet the latency target.
func (c Call) Objective() float64 { return c.wire.Objective }

// Deadline returns the deadline of a call that brings none.
func (c Call) Deadline() time.Duration { return c.wire.Deadline }

// KeyWindow returns how long the key of a non-idempotent call is remembered; 0
// for an idempotent call.
func (c Call) KeyWindow() time.Duration { return c.keyWindow }
