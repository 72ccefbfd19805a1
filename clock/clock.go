// Package clock passes time into code that must not read the wall clock itself.
//
// Decision packages take the current time as an argument of each step. The
// shells around them take a Clock, so that a test drives them by hand.
//
// # Usage
//
//	var c clock.Clock = clock.System{}
//	select {
//	case <-c.After(time.Second):
//	case <-ctx.Done():
//	}
//
// A test uses Manual instead and moves it with Advance.
package clock

import "time"

// Clock tells the time and waits for it.
type Clock interface {
	// Now returns the current time, with a monotonic reading where there is one.
	Now() time.Time
	// After returns a channel that receives the time once d has passed.
	After(d time.Duration) <-chan time.Time
}
