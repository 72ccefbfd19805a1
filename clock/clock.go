// Package clock provides the time to code that must not read the system clock directly.
//
// Deterministic packages take the current time as an argument. The code that calls them takes a
// Clock, so that a test can control the time.
//
// # Usage
//
//	var c clock.Clock = clock.System{}
//	select {
//	case <-c.After(time.Second):
//	case <-ctx.Done():
//	}
//
// A test uses Manual and advances it with Advance.
package clock

import "time"

// Clock returns the current time and signals when a duration has passed.
type Clock interface {
	// Now returns the current time, with a monotonic reading if the clock has one.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}
