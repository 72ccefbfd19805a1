// Package usage counts the requests of client accounts by time window and decides
// which report of a window is sent.
//
// Counter counts requests as they start to run. Ledger merges the counts of all
// instances and the reports that were finalized. All instances receive finalized
// reports in the same order from a shared log, so that they agree on the first one
// for a window. A report is finalized before it is sent and never changes, so that every
// resend, by any instance, has the same content.
//
// # Usage
//
//	counter := &usage.Counter{Width: 5 * time.Second, Retention: 6 * time.Second, Now: time.Now}
//	counter.RequestStarted("wholesale-1")
//
//	ledger := usage.NewLedger(policy, now)
//	ledger.AddCounts(now, "entry-1", incarnation, counter.Recent())
//
//	for _, report := range ledger.Due(now, members) {
//		// Append the report to the log, then send it.
//	}
package usage

import (
	"sync"
	"time"

	"monsoonlever/fleet"
)

// Window is the number of a time window, counted from the Unix epoch.
type Window int64

// WindowOf returns the window that contains t.
func WindowOf(t time.Time, width time.Duration) Window {
	return Window(t.UnixNano() / int64(width))
}

// End returns the end of the window.
func (w Window) End(width time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(width))
}

// Count is the number of requests of an account that one instance counted in a window.
type Count struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec
	Window   Window
	Account  fleet.Account
	Requests int
}

// Counter counts the requests of this instance when they start to run. Its exported fields are
// set before its first use. It is safe for concurrent use.
type Counter struct {
	// Width is the duration of a window.
	Width time.Duration
	// Retention is how long after the end of a window its counts are still returned by Recent,
	// so that later messages make up for lost ones.
	Retention time.Duration
	// Now returns the wall-clock time, by which windows are numbered.
	Now func() time.Time

	mu     sync.Mutex
	counts map[Window]map[fleet.Account]int
}

// RequestStarted counts a request of an account that starts to run now.
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

// Recent returns the counts of all windows within Retention and removes older ones.
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
