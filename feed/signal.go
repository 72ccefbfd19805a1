package feed

import "sync"

// Signal asks a loop to go on at once. One request is kept until the loop takes it, also
// before the loop has begun. The zero value is ready.
type Signal struct {
	once    sync.Once
	request chan struct{}
}

// Send asks; it never waits.
func (s *Signal) Send() {
	select {
	case s.requests() <- struct{}{}:
	default:
	}
}

// C returns the channel on which the request comes.
func (s *Signal) C() <-chan struct{} { return s.requests() }

func (s *Signal) requests() chan struct{} {
	s.once.Do(func() { s.request = make(chan struct{}, 1) })

	return s.request
}
