package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const (
	// DefaultDialTimeout is some hundred round trips within a region; a full queue
	// of new connections drops the first packet, which is sent again after a second.
	DefaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept whose server names no timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxFreshIdle is the idle time up to which a connection counts as in use: a shorter one
	// makes more connections, with a longer one more calls are lost with dead ones.
	maxFreshIdle = 1500 * time.Millisecond
	// idleTimeoutShare is the part of a server's idle timeout after which a connection is
	// not used any more, so that no request crosses its close.
	idleTimeoutShare = 0.5
	// readBuffer holds the header of an answer and several events of a stream.
	readBuffer = 4 << 10
)

// Pool keeps connections to backend servers. Its exported fields are set before
// its first use.
type Pool struct {
	Clock clock.Clock
	// DialTimeout bounds the making of a connection; zero is the default.
	DialTimeout time.Duration
	// Counters may be nil.
	Counters *Counters
	// Dial makes connections; nil makes those of Dialer over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	servers map[fleet.InstanceID]*serverConnections
}

// serverConnections are those to one start of a backend server.
type serverConnections struct {
	idle []*connection
	// busy carry a request.
	busy    map[*connection]struct{}
	open    int
	limit   int
	removed bool
}

// connection is used by one request at a time.
type connection struct {
	net.Conn
	// owner counts it: the server may have been forgotten, or have started again, since.
	owner  *serverConnections
	reader *bufio.Reader
	// reuseUntil is when the connection must not be used any more.
	reuseUntil time.Time
	lastUsed   time.Time
	// kept tells that the connection carried a request before.
	kept bool
}

// ErrConnectionLimit means that this instance's share of a backend server's
// connections is in use.
var ErrConnectionLimit = merry.Sentinel("connection limit of the backend server is reached")

// SetLimit bounds the connections to a server; zero is no bound.
func (p *Pool) SetLimit(id fleet.InstanceID, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectionsOf(id).limit = limit
}

// RemoveServer closes the idle connections to a server that is gone and keeps no more.
func (p *Pool) RemoveServer(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.removeServer(id)
}

// Cut closes all connections to a server that started again, those that carry a
// request included: the start that had it has ended, which a silent connection does
// not tell.
func (p *Pool) Cut(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if c := p.removeServer(id); c != nil {
		for conn := range c.busy {
			_ = conn.Close()
		}
	}
}

// removeServer closes the idle connections to a server. Those that carry a request are closed
// once it has ended.
func (p *Pool) removeServer(id fleet.InstanceID) *serverConnections {
	c := p.servers[id]
	if c == nil {
		return nil
	}

	for _, conn := range c.idle {
		_ = conn.Close()
	}

	c.open -= len(c.idle)
	c.idle = nil
	c.removed = true
	delete(p.servers, id)

	return c
}

// OpenConnections returns how many connections to a server are open.
func (p *Pool) OpenConnections(id fleet.InstanceID) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	if c := p.servers[id]; c != nil {
		return c.open
	}

	return 0
}

func (p *Pool) connectionsOf(id fleet.InstanceID) *serverConnections {
	if p.servers == nil {
		p.servers = make(map[fleet.InstanceID]*serverConnections)
	}

	c := p.servers[id]
	if c == nil {
		c = &serverConnections{busy: make(map[*connection]struct{})}
		p.servers[id] = c
	}

	return c
}

// get returns a kept connection that is alive, or dials. The error wraps
// backend.ErrNotSent.
func (p *Pool) get(ctx context.Context, s Server, fresh bool) (*connection, error) {
	for {
		conn, err := p.reserve(s.ID, fresh)
		if err != nil {
			return nil, err
		}

		if conn.Conn == nil {
			return p.dial(ctx, s, conn)
		}

		if conn.alive() {
			return conn, nil
		}

		p.closeConnection(conn)
	}
}

// reserve takes the connection that was used last, or counts a new one that the caller
// has to dial.
func (p *Pool) reserve(id fleet.InstanceID, fresh bool) (*connection, error) {
	now := p.Clock.Now()

	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.connectionsOf(id)
	p.expire(c, now)

	if n := len(c.idle); n > 0 {
		conn := c.idle[n-1]
		if !fresh || now.Sub(conn.lastUsed) <= maxFreshIdle {
			c.idle = c.idle[:n-1]
			c.busy[conn] = struct{}{}

			return conn, nil
		}
	}

	if c.limit > 0 && c.open >= c.limit {
		if len(c.idle) == 0 {
			return nil, merry.Prepend(backend.ErrNotSent, "reserve a connection", merry.WithCause(ErrConnectionLimit))
		}

		// An idle connection makes room for the fresh one.
		_ = c.idle[0].Close()
		c.idle = c.idle[1:]
		c.open--
	}

	c.open++

	return &connection{owner: c}, nil
}

// expire closes the connections whose server may close them soon.
func (p *Pool) expire(c *serverConnections, now time.Time) {
	kept := c.idle[:0]

	for _, conn := range c.idle {
		if now.Before(conn.reuseUntil) {
			kept = append(kept, conn)

			continue
		}

		_ = conn.Close()
		c.open--
	}

	c.idle = kept
}

func (p *Pool) dial(ctx context.Context, s Server, conn *connection) (*connection, error) {
	dialled, err := p.connect(ctx, s.Address)
	if err != nil {
		p.release(conn)
		p.Counters.dialFailed()

		return nil, merry.Prepend(backend.ErrNotSent, "dial "+s.Address, merry.WithCause(err))
	}

	p.Counters.dialled()

	conn.Conn, conn.reader = dialled, bufio.NewReaderSize(dialled, readBuffer)

	p.mu.Lock()
	defer p.mu.Unlock()
	conn.owner.busy[conn] = struct{}{}

	return conn, nil
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, address)
	}

	timeout := p.DialTimeout
	if timeout <= 0 {
		timeout = DefaultDialTimeout
	}

	return Dialer(timeout).DialContext(ctx, "tcp4", address)
}

// putIdle keeps a connection for the next request.
func (p *Pool) putIdle(conn *connection, idle time.Duration) {
	now := p.Clock.Now()
	conn.kept = true
	conn.lastUsed = now
	conn.reuseUntil = now.Add(idle)

	p.mu.Lock()
	defer p.mu.Unlock()

	c := conn.owner
	delete(c.busy, conn)

	if c.removed {
		_ = conn.Close()
		c.open--

		return
	}

	c.idle = append(c.idle, conn)
}

func (p *Pool) closeConnection(conn *connection) {
	_ = conn.Close()
	p.release(conn)
}

func (p *Pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(conn.owner.busy, conn)
	conn.owner.open--
}

// alive tells whether nothing has come on an idle connection: neither its end nor
// bytes that belong to no request.
func (c *connection) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}

	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}

	silent := false

	err = raw.Control(func(fd uintptr) {
		var one [1]byte

		_, _, receiveErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = receiveErr == unix.EAGAIN || receiveErr == unix.EINTR
	})

	return err == nil && silent
}
