// Package currency tracks how long ago an instance confirmed that its copy of shared state, such
// as the operators' rules, is up to date.
//
// The age of a confirmation counts from when the request for it was sent, on a clock that
// includes suspension: a response that was delayed, or read after the machine was suspended,
// proves nothing about the time since the request. A key that operators have revoked therefore
// stays usable for at most MaxAge, even on an instance that is cut off from the platform's
// store.
//
// # Usage
//
//	c := &currency.Tracker{Clock: clk, MaxAge: 4 * time.Second}
//	requestedAt := clk.Now()
//	// Read to the end of the operators' records.
//	c.Confirm(requestedAt)
//	if !c.Current() {
//		// Refuse the request: the key may have been revoked.
//	}
package currency

import (
	"sync/atomic"
	"time"

	"monsoonlever/clock"
)

// Tracker records the newest confirmation. Its fields are set before its first use; its methods
// are safe for concurrent use.
type Tracker struct {
	Clock clock.Clock
	// MaxAge is the largest age of a confirmation at which the copy counts as up to date.
	MaxAge time.Duration

	// requestedAt is when the request of the newest confirmation was sent, in Unix
	// nanoseconds, or zero if there is no confirmation.
	requestedAt atomic.Int64
}

// Confirm records that a request that was sent at requestedAt found the copy to be up to date. A
// confirmation that is older than the newest one has no effect.
func (t *Tracker) Confirm(requestedAt time.Time) {
	next := requestedAt.UnixNano()

	for {
		last := t.requestedAt.Load()
		if next <= last || t.requestedAt.CompareAndSwap(last, next) {
			return
		}
	}
}

// Age returns the time since the request of the newest confirmation was sent, and whether there
// is a confirmation.
func (t *Tracker) Age() (time.Duration, bool) {
	requestedAt := t.requestedAt.Load()
	if requestedAt == 0 {
		return 0, false
	}

	return t.Clock.Now().Sub(time.Unix(0, requestedAt)), true
}

// Current reports whether the newest confirmation is at most MaxAge old.
func (t *Tracker) Current() bool {
	age, ok := t.Age()

	return ok && age <= t.MaxAge
}
