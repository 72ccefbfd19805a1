package feed

import "sync"

// Signal asks a loop to go on at once. One request is kept until the loop takes it, also
// before the loop has begun. The zero value is ready.
type Signal struct {
	once    sync.Once
	pending chan struct{}
}

// Send asks; it never waits.
func (s *Signal) Send() {
	select {
	case s.channel() <- struct{}{}:
	default:
	}
}

// C returns the channel on which the request comes.
func (s *Signal) C() <-chan struct{} { return s.channel() }

func (s *Signal) channel() chan struct{} {
	s.once.Do(func() { s.pending = make(chan struct{}, 1) })

	return s.pending
}
