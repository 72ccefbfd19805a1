package logstream

import "time"

// Subscriber takes the accepted entries of a stream. Its methods are called
// from one goroutine.
type Subscriber interface {
	// Horizon says that the entries that follow are complete only as far back
	// as since; older ones have aged out. It is zero if the stream is whole. It
	// is called at the start, and again if records aged out unread.
	Horizon(since time.Time)
	// Entries takes accepted entries in offset order.
	Entries(entries []Entry)
}
