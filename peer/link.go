package peer

import (
	"context"
	"math/rand/v2"
	"sync"
)

// link holds what waits for one remote address, and the connection to it.
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

// enqueue adds f to its queue. It reports false when the link has closed and
// the caller must take a new one.
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

// attach makes c the connection to write to, unless a working one is there.
func (l *link) attach(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if !l.closed && (l.conn == nil || l.conn.broken.Load()) {
		l.conn = c
	}
}

// current returns the working connection, or nil.
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

// run writes what is queued until ctx ends or the link has been idle.
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

// flush connects if need be and writes every queued frame.
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

// connect returns the working connection or dials one, with a bounded number
// of attempts.
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

// dropQueued drops what is queued for a remote that cannot be reached.
func (l *link) dropQueued() {
	undeliverableFrames.Add(len(l.takeAll()))
	l.finishWrite()
	l.node.failCalls(l.address)
}

// close ends the link. A message that races with it takes a new link.
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
