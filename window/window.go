// Package window counts events over a sliding span of time without a lock.
//
// A Counter is a ring of buckets. A bucket holds its own number beside its
// value in one word, so that a bucket of an earlier turn is never read as one
// of this turn, and adding needs one compare-and-swap.
//
// # Usage
//
//	c := window.NewCounter(time.Second, 10)
//	c.Add(now, 1)
//	lastTenSeconds := c.Sum(now, 10)
package window
