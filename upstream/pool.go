package upstream

import (
	"bufio"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const (
	// DefaultDialTimeout is about a hundred round trips within a region. It is too short
	// for a server whose accept queue is full: such a server drops the SYN packet, which
	// is retransmitted only after a second.
	DefaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server sends no
	// timeout in a Keep-Alive header.
	defaultIdleTimeout = 4 * time.Second
	// maxFreshIdle is the longest idle time of a connection for Request.RequireFresh. A
	// shorter time causes more dials, a longer one more requests lost on dead connections.
	maxFreshIdle = 1500 * time.Millisecond
	// idleTimeoutShare is the share of a server's idle timeout after which a connection is
	// not reused, so that no request is sent while the server closes the connection.
	idleTimeoutShare = 0.5
	// readBuffer is the size in bytes of a connection's read buffer: the header of a
	// response and several events of a stream fit into it.
	readBuffer = 4 << 10
)

// Pool is a pool of connections to backend servers. Its exported fields are set before
// its first use. Its methods are safe for concurrent use.
type Pool struct {
	Clock clock.Clock
	// DialTimeout bounds the dialling of a connection; zero selects DefaultDialTimeout.
	DialTimeout time.Duration
	// Counters may be nil.
	Counters *Counters
	// Source is the local address of connections; nil lets the system choose it.
	Source net.IP
	// Slots bounds the connections to all servers; it may be nil.
	Slots *Slots
	// Dial opens a connection until its context ends; nil selects Dialer over IPv4.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	mu      sync.Mutex
	servers map[fleet.InstanceID]*serverConnections
	// removed are the connections to servers that were removed while they carried requests.
	removed map[fleet.InstanceID][]*serverConnections
}

// serverConnections are the connections to one process of a backend server.
type serverConnections struct {
	id   fleet.InstanceID
	idle []*connection
	// busy are the connections that carry a request.
	busy map[*connection]struct{}
	// open counts the idle and busy connections and those being dialled.
	open int
	// limit bounds open; zero is no limit.
	limit int
	// removed is set once the server is no longer in the pool: a busy connection is then
	// closed after its request.
	removed bool
	// cut is set once the process has terminated: a connection that is still being dialled
	// then carries no request.
	cut bool
}

// connection is used by one request at a time.
type connection struct {
	net.Conn
	// owner counts this connection. Pool.servers may no longer have it: the server may
	// have been removed or restarted since.
	owner *serverConnections
	// reader reads from input.
	reader *bufio.Reader
	input  *input
	// reuseUntil is when the connection may last be used for a further request.
	reuseUntil time.Time
	// lastUsed is when the last request on the connection ended.
	lastUsed time.Time
	// kept is set once the connection has carried a request.
	kept bool
	// repeatable is set while the connection carries a request that may be repeated and of which
	// nothing was received. interrupted is set by Interrupt.
	repeatable, interrupted atomic.Bool
}

// ErrConnectionLimit means that all connections to a backend server that this instance
// may open are in use.
var ErrConnectionLimit = merry.Sentinel("connection limit of the backend server is reached")

// ErrCut means that the connections to a backend server were cut before the request was
// sent.
var ErrCut = merry.Sentinel("connections to the backend server were cut")

// ErrInterrupted means that a request which may be repeated was interrupted because its server,
// to which no connection can be opened either, was silent.
var ErrInterrupted = merry.Sentinel("request was interrupted, its server is silent")

// SetLimit bounds the number of open connections to a server; zero is no limit.
func (p *Pool) SetLimit(id fleet.InstanceID, limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectionsOf(id).limit = limit
}

// HasRoom reports whether a connection to a server is idle or may be opened.
func (p *Pool) HasRoom(id fleet.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	c := p.servers[id]

	return c == nil || c.limit <= 0 || c.open < c.limit || len(c.idle) > 0
}

// RemoveServer removes a server from the pool: it closes the idle connections
// immediately and the others once their requests have ended, or when Cut is called.
func (p *Pool) RemoveServer(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if c := p.removeServer(id); c != nil && c.open > 0 {
		if p.removed == nil {
			p.removed = make(map[fleet.InstanceID][]*serverConnections)
		}

		p.removed[id] = append(p.removed[id], c)
	}
}

// Draining reports whether a server that was removed has requests that have not ended.
func (p *Pool) Draining(id fleet.InstanceID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	return len(p.removed[id]) > 0
}

// Cut closes all connections to a server that was restarted, including those that carry
// a request, also if the server was removed from the pool since: the process that had the
// request has terminated, but a connection without traffic does not show that. A request
// whose connection is being dialled fails with ErrCut, since the connection may have
// reached either process.
func (p *Pool) Cut(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	former := p.removed[id]
	if c := p.removeServer(id); c != nil {
		former = append(former, c)
	}

	delete(p.removed, id)

	for _, c := range former {
		c.cut = true

		for conn := range c.busy {
			_ = conn.Close()
		}
	}
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	if c := p.servers[id]; c != nil {
		p.closeIdle(c)
	}
}

// closeIdle closes the idle connections to a server. p.mu is held.
func (p *Pool) closeIdle(c *serverConnections) {
	for _, conn := range c.idle {
		_ = conn.Close()
	}

	c.open -= len(c.idle)
	p.Slots.Release(len(c.idle))
	c.idle = nil
}

// Interrupt fails the requests to a server that may be repeated and of which nothing was received,
// with ErrInterrupted.
func (p *Pool) Interrupt(id fleet.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()

	c := p.servers[id]
	if c == nil {
		return
	}

	for conn := range c.busy {
		if conn.repeatable.Load() {
			conn.interrupted.Store(true)

			_ = conn.Close()
		}
	}
}

// settleTime is how long a new connection is looked at: something on the path may accept
// connections and reset them.
const settleTime = 20 * time.Millisecond

// Connect dials a new connection to a server and keeps it for a request if it stays open. Its
// errors wrap backend.ErrNotSent.
func (p *Pool) Connect(ctx context.Context, s Server) error {
	conn, err := p.reserveNew(s.ID)
	if err != nil {
		return err
	}

	if conn, err = p.dial(ctx, s, conn); err != nil {
		return err
	}

	clock.Sleep(ctx, p.Clock, settleTime)

	if !conn.alive() {
		p.closeConnection(conn)

		return merry.Prependf(backend.ErrNotSent, "dial %s: closed after it was accepted", s.Address)
	}

	p.putIdle(conn, defaultIdleTimeout)

	return nil
}

// reserveNew returns a new connection, already counted as open, that the caller has to dial.
func (p *Pool) reserveNew(id fleet.InstanceID) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.add(p.connectionsOf(id))
}

// removeServer closes the idle connections to a server and removes it from the pool. It
// returns the removed connections, or nil if the pool has none. A busy connection is
// closed once its request has ended. p.mu is held.
func (p *Pool) removeServer(id fleet.InstanceID) *serverConnections {
	c := p.servers[id]
	if c == nil {
		return nil
	}

	p.closeIdle(c)
	c.removed = true
	delete(p.servers, id)

	return c
}

// OpenConnections returns the number of connections to a server that are open or being
// dialled.
func (p *Pool) OpenConnections(id fleet.InstanceID) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	if c := p.servers[id]; c != nil {
		return c.open
	}

	return 0
}

// connectionsOf returns the connections to a server, and adds the server if the pool does
// not have it. p.mu is held.
func (p *Pool) connectionsOf(id fleet.InstanceID) *serverConnections {
	if p.servers == nil {
		p.servers = make(map[fleet.InstanceID]*serverConnections)
	}

	c := p.servers[id]
	if c == nil {
		c = &serverConnections{id: id, busy: make(map[*connection]struct{})}
		p.servers[id] = c
	}

	return c
}

// get returns an idle connection that is alive, or dials a new one. Its errors wrap
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

// reserve returns the idle connection that was used last, or a new one, already counted
// as open, that the caller has to dial. With fresh set it returns only an idle
// connection that was used within maxFreshIdle. The error wraps ErrConnectionLimit if the
// server's limit is reached.
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

	return p.add(c)
}

// add returns a new connection, counted as open, that the caller has to dial. At the server's limit,
// and where no slot is free, an idle connection is closed to make room; without one the error wraps
// ErrConnectionLimit. p.mu is held.
func (p *Pool) add(c *serverConnections) (*connection, error) {
	if c.limit > 0 && c.open >= c.limit && !p.closeOldestIdle(c) || !p.takeSlot() {
		return nil, merry.Prepend(backend.ErrNotSent, "reserve a connection", merry.WithCause(ErrConnectionLimit))
	}

	c.open++

	return &connection{owner: c}, nil
}

// takeSlot takes a slot, for which an idle connection to any server may be closed. p.mu is held.
func (p *Pool) takeSlot() bool {
	if p.Slots.Take() {
		return true
	}

	for _, c := range p.servers {
		if p.closeOldestIdle(c) {
			return p.Slots.Take()
		}
	}

	return false
}

// closeOldestIdle closes the idle connection to a server that was used least recently, and reports
// whether there is one. p.mu is held.
func (p *Pool) closeOldestIdle(c *serverConnections) bool {
	if len(c.idle) == 0 {
		return false
	}

	_ = c.idle[0].Close()
	c.idle = c.idle[1:]
	c.open--
	p.Slots.Release(1)

	return true
}

// expire closes the idle connections that the server may soon close. p.mu is held.
func (p *Pool) expire(c *serverConnections, now time.Time) {
	kept := c.idle[:0]

	for _, conn := range c.idle {
		if now.Before(conn.reuseUntil) {
			kept = append(kept, conn)

			continue
		}

		_ = conn.Close()
		c.open--
		p.Slots.Release(1)
	}

	c.idle = kept
}

// dial opens a connection that reserve returned, and releases it if that fails.
func (p *Pool) dial(ctx context.Context, s Server, conn *connection) (*connection, error) {
	dialled, err := p.connect(ctx, s.Address)
	if err != nil {
		p.release(conn)
		p.Counters.dialFailed()

		return nil, merry.Prependf(backend.ErrNotSent, "dial %s: %v", s.Address, err, merry.WithCause(err))
	}

	p.Counters.dialled()

	conn.Conn, conn.input = dialled, &input{conn: dialled}
	conn.reader = bufio.NewReaderSize(conn.input, readBuffer)

	if !p.markBusy(conn) {
		p.closeConnection(conn)

		return nil, merry.Prepend(backend.ErrNotSent, "dial "+s.Address, merry.WithCause(ErrCut))
	}

	return conn, nil
}

// markBusy adds a dialled connection to those that carry a request, so that Cut closes it. It
// reports false if Cut was called during the dial.
func (p *Pool) markBusy(conn *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()

	if conn.owner.cut {
		return false
	}

	conn.owner.busy[conn] = struct{}{}

	return true
}

func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	timeout := p.DialTimeout
	if timeout <= 0 {
		timeout = DefaultDialTimeout
	}

	if p.Dial != nil {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()

		return p.Dial(ctx, address)
	}

	dialer := Dialer(timeout)
	if p.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: p.Source}
	}

	return dialer.DialContext(ctx, "tcp4", address)
}

// putIdle keeps a connection for further requests until it has been idle for the given
// time. It closes the connection if its server was removed.
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
		p.uncount(c)

		return
	}

	c.idle = append(c.idle, conn)
}

// closeConnection closes a connection that is not idle and releases it.
func (p *Pool) closeConnection(conn *connection) {
	_ = conn.Close()
	p.release(conn)
}

// release stops counting a connection as open and busy.
func (p *Pool) release(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(conn.owner.busy, conn)
	p.uncount(conn.owner)
}

// uncount stops counting a connection as open, and forgets a removed server once it was the
// last one. p.mu is held.
func (p *Pool) uncount(c *serverConnections) {
	c.open--
	p.Slots.Release(1)

	if !c.removed || c.open > 0 {
		return
	}

	rest := slices.DeleteFunc(p.removed[c.id], func(other *serverConnections) bool { return other == c })
	if len(rest) > 0 {
		p.removed[c.id] = rest
	} else {
		delete(p.removed, c.id)
	}
}

// alive reports whether an idle connection can be used: the server has neither closed
// it nor sent bytes that belong to no request.
func (c *connection) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}

	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}

	raw, err := socket.SyscallConn()
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
