package feed

import "sync"

// Signal wakes a loop. One request is stored until the loop receives it, even if the loop has not
// started yet. The zero value is ready to use.
type Signal struct {
	once    sync.Once
	pending chan struct{}
}

// Send wakes the loop. It never blocks, and does nothing if a request is already pending.
func (s *Signal) Send() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}

// C returns the channel that delivers the request.
func (s *Signal) C() <-chan struct{} { return s.channel() }

func (s *Signal) channel() chan struct{} {
	s.once.Do(func() { s.pending = make(chan struct{}, 1) })

	return s.pending
}
