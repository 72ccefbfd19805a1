// Package currency tells how old what an instance believes of the operators'
// rules may be.
//
// A confirmation counts from when the question for it was sent, on a clock that
// counts suspension: an answer that was delayed, or read after the machine slept,
// says nothing of the time since. A key that operators have revoked may therefore
// be used for no longer than the bound, also by an instance that is cut off from
// the platform's store.
//
// # Usage
//
//	c := &currency.Tracker{Clock: clk, Bound: 4 * time.Second}
//	asked := clk.Now()
//	// … read to the end of the operators' records …
//	c.Confirm(asked)
//	if !c.Current() {
//		// Refuse: it is not known whether the key still holds.
//	}
package currency

import (
	"sync/atomic"
	"time"

	"monsoonlever/clock"
)

// Tracker keeps the newest confirmation. Its fields are set before its first use.
type Tracker struct {
	Clock clock.Clock
	// MaxAge is the age above which the rules are not known to be in force.
	MaxAge time.Duration

	// requestedAt is when the question of the newest confirmation was sent, in Unix
	// nanoseconds, or zero.
	requestedAt atomic.Int64
}

// Confirm takes in that the rules were found to be the newest by a question that
// was sent at asked. An older confirmation than the last changes nothing.
func (t *Tracker) Confirm(requestedAt time.Time) {
	next := requestedAt.UnixNano()

	for {
		last := t.requestedAt.Load()
		if next <= last || t.requestedAt.CompareAndSwap(last, next) {
			return
		}
	}
}

// Age returns the time since the newest confirmation was asked for, and whether
// there is one.
func (t *Tracker) Age() (time.Duration, bool) {
	requestedAt := t.requestedAt.Load()
	if requestedAt == 0 {
		return 0, false
	}

	return t.Clock.Now().Sub(time.Unix(0, requestedAt)), true
}

// Current tells whether the rules are known to be in force.
func (t *Tracker) Current() bool {
	age, ok := t.Age()

	return ok && age <= t.MaxAge
}
