package upstream

import "sync/atomic"

// Slots bounds the connections that pools and other clients of a process have open together, so that
// they leave descriptors to everything else. A nil *Slots has no bound. Its methods are safe for
// concurrent use.
type Slots struct {
	// Max is the largest number of open connections.
	Max int64

	used atomic.Int64
}

// Take takes a slot and reports whether one was free.
func (s *Slots) Take() bool {
	if s == nil {
		return true
	}

	if s.used.Add(1) > s.Max {
		s.used.Add(-1)

		return false
	}

	return true
}

// Release gives slots back.
func (s *Slots) Release(n int) {
	if s != nil {
		s.used.Add(int64(-n))
	}
}
