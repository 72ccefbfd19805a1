package peer

import (
	"context"
	"math/rand/v2"
	"sync"
)

// link holds the messages queued for one remote address and the connection that
// they are written to.
type link struct {
	node    *Node
	address string
	wake    chan struct{}
	random  *rand.Rand

	mu          sync.Mutex
	undroppable queue
	droppable   queue
	conn        *conn
	writing     bool
	closed      bool
}

func newLink(n *Node, address string) *link {
	return &link{
		node:        n,
		address:     address,
		wake:        make(chan struct{}, 1),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		undroppable: queue{limit: n.queueLength()},
		droppable:   queue{limit: n.queueLength()},
	}
}

// enqueue adds f to the queue for its kind. It reports false if the link is
// closed and the caller must get a new one from Node.link.
func (l *link) enqueue(f frame, droppable bool) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.closed {
		return false, nil
	}

	if !droppable {
		if !l.undroppable.push(f) {
			return true, ErrQueueFull
		}
	} else if l.droppable.pushDroppingOldest(f) {
		displacedFrames.Inc()
	}

	l.signal()

	return true, nil
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// attach makes c the connection to write to, unless the link is closed or has a
// working connection.
func (l *link) attach(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.closed && (l.conn == nil || l.conn.broken.Load()) {
		l.conn = c
	}
}

// current returns the link's working connection, or nil if it has none.
func (l *link) current() *conn {
	l.mu.Lock()
	defer l.mu.Unlock()

	if l.conn != nil && l.conn.broken.Load() {
		l.conn = nil
	}

	return l.conn
}

func (l *link) takeAll() []frame {
	l.mu.Lock()
	defer l.mu.Unlock()

	frames := append(l.undroppable.takeAll(), l.droppable.takeAll()...)
	l.writing = len(frames) > 0

	return frames
}

func (l *link) finishWrite() {
	l.mu.Lock()
	defer l.mu.Unlock()

	l.writing = false
}

// run writes queued messages until ctx ends or none was queued for the node's
// IdleTimeout.
func (l *link) run(ctx context.Context) {
	defer l.close()

	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
			l.flush(ctx)
		case <-l.node.Clock.After(l.node.idleTimeout()):
			return
		}
	}
}

// flush connects to the remote unless a working connection exists, and writes
// every queued frame. If no connection can be established, it drops the frames.
func (l *link) flush(ctx context.Context) {
	c := l.connect(ctx)
	if c == nil {
		l.dropQueued()

		return
	}

	frames := l.takeAll()
	defer l.finishWrite()

	var buffer []byte
	for _, f := range frames {
		buffer = appendFrame(buffer, f)
	}

	if len(buffer) == 0 {
		return
	}

	if err := c.write(buffer); err != nil {
		c.close()
		undeliverableFrames.Add(len(frames))
		l.node.failCalls(l.address)

		return
	}

	sentFrames.Add(len(frames))
}

// connect returns the working connection, or dials up to maxDialAttempts times.
// It returns nil if no connection could be established.
func (l *link) connect(ctx context.Context) *conn {
	for attempt := 1; attempt <= maxDialAttempts; attempt++ {
		if c := l.current(); c != nil {
			return c
		}

		c, err := l.node.dial(ctx, l.address)
		if err == nil {
			l.attach(c)

			return c
		}

		dialFailures.Inc()

		if !l.node.pause(ctx, backoff(attempt, l.random)) {
			return nil
		}
	}

	return l.current()
}

// dropQueued drops the queued messages and fails the pending calls to the
// remote.
func (l *link) dropQueued() {
	undeliverableFrames.Add(len(l.takeAll()))
	l.finishWrite()
	l.node.failCalls(l.address)
}

// close removes the link from the node, drops its queued messages and closes its
// connection. A message that finds the link closed is queued on a new link.
func (l *link) close() {
	l.node.removeLink(l)
	l.mu.Lock()
	l.closed = true
	c := l.conn
	l.mu.Unlock()
	l.dropQueued()

	if c != nil {
		c.close()
	}
}
