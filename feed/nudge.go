package feed

import "sync"

// Nudge asks a loop to go on at once. One request is kept until the loop takes it, also
// before the loop has begun. The zero value is ready.
type Nudge struct {
	once    sync.Once
	request chan struct{}
}

// Send asks; it never waits.
func (n *Nudge) Send() {
	select {
	case n.requests() <- struct{}{}:
	default:
	}
}

// C returns the channel on which the request comes.
func (n *Nudge) C() <-chan struct{} { return n.requests() }

func (n *Nudge) requests() chan struct{} {
	n.once.Do(func() { n.request = make(chan struct{}, 1) })

	return n.request
}
