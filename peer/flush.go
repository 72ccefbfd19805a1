package peer

import (
	"context"
	"time"
)

// flushPollInterval is the interval at which Flush checks the queues.
const flushPollInterval = 10 * time.Millisecond

// Flush waits until all queued messages have been written or dropped, or ctx
// ends.
func (n *Node) Flush(ctx context.Context) {
	for !n.drained() {
		select {
		case <-ctx.Done():
			return
		case <-n.Clock.After(flushPollInterval):
		}
	}
}

func (n *Node) drained() bool {
	n.mu.Lock()
	defer n.mu.Unlock()

	for _, l := range n.links {
		if l.pending() {
			return false
		}
	}

	return true
}

// pending reports whether the link has a message queued or being written.
func (l *link) pending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()

	return l.writing || len(l.undroppable.frames)+len(l.droppable.frames) > 0
}
