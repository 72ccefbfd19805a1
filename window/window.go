// Package window counts events over a sliding time window without locks.
//
// A Counter is a ring of buckets. A bucket stores its number and its value in one
// word, so that a value from an earlier pass over the ring is never counted again,
// and Add needs a single compare-and-swap.
//
// # Usage
//
//	c := window.NewCounter(time.Second, 10)
//	c.Add(now, 1)
//	lastTenSeconds := c.Sum(now, 10)
package window
