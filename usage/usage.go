// Package usage counts the requests of client accounts by windows of time and
// decides which report of a window is sent.
//
// Counter counts on the path of requests. Ledger folds the counts that all
// instances tell each other, and the reports that have been fixed; both come to
// every instance in the same order, so that the first report fixed for a window
// is the same for all. A report is fixed before it is sent and never changed, so
// that a second send of it, by whoever, says the same.
//
// # Usage
//
//	counter := &usage.Counter{Width: 5 * time.Second, Keep: 6 * time.Second, Now: time.Now}
//	counter.Began("wholesale-1")
//	ledger := usage.NewLedger(policy)
//	ledger.Count(now, "entry-1", counter.Recent())
//	if report, ok := ledger.Due(now, members); ok { … fix it … }
package usage

import (
	"sync"
	"time"

	"monsoonlever/fleet"
)

// Window is the number of a window of time, counted from 1970.
type Window int64

// WindowOf returns the window that a time lies in.
func WindowOf(t time.Time, width time.Duration) Window {
	return Window(t.UnixNano() / int64(width))
}

// End returns the end of the window.
func (w Window) End(width time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(width))
}

// Count is what one instance counted for an account in a window.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Window   Window
	Account  fleet.Account
	Requests int
}

// Counter counts requests as they begin to run.
type Counter struct {
	// Width is the width of a window.
	Width time.Duration
	// Retention is how long after its end a window is told to others: a count must survive
	// messages that are lost.
	Retention time.Duration
	// Now is the time of day, which windows follow.
	Now func() time.Time

	mu     sync.Mutex
	counts map[Window]map[fleet.Account]int
}

// Began counts a request that began to run now.
func (c *Counter) RequestStarted(account fleet.Account) {
	w := WindowOf(c.Now(), c.Width)

	c.mu.Lock()
	defer c.mu.Unlock()

	if c.counts == nil {
		c.counts = make(map[Window]map[fleet.Account]int)
	}

	if c.counts[w] == nil {
		c.counts[w] = make(map[fleet.Account]int)
	}

	c.counts[w][account]++
}

// Recent returns the counts of the newest windows and forgets older ones.
func (c *Counter) Recent() []Count {
	oldest := WindowOf(c.Now().Add(-c.Retention), c.Width)

	c.mu.Lock()
	defer c.mu.Unlock()

	var recent []Count

	for w, counts := range c.counts {
		if w < oldest {
			delete(c.counts, w)

			continue
		}

		for account, n := range counts {
			recent = append(recent, Count{Window: w, Account: account, Requests: n})
		}
	}

	return recent
}
