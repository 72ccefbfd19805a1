// Package listener limits what the clients of an HTTP server can hold.
//
// Limit bounds the number of open connections. A connection over the limit receives a short HTTP
// response and is closed, so that the caller learns the reason instead of waiting in a queue.
//
// Guard does the same for clients that don't behave: a connection that carries no request makes room
// for a new one, so that clients that only hold connections keep nobody else out.
//
// # Usage
//
//	l := &listener.Limit{Listener: inner, Max: 4096, Refusal: response}
//	server.Serve(l)
//
//	g := &listener.Guard{Clock: clk, Max: 4096}
//	server.Serve(g.Protect(server, inner))
package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// refusalTimeout bounds the write of a refusal.
const refusalTimeout = time.Second

// Limit is a listener with at most Max open connections. The exported fields
// are set before Accept.
type Limit struct {
	net.Listener
	Max int64
	// Refusal is the response that is written to a connection over the limit.
	Refusal []byte
	// OnRefused is called for each connection over the limit; it may be nil.
	OnRefused func()

	open atomic.Int64
}

// Open returns the number of open connections.
func (l *Limit) Open() int64 {
	return l.open.Load()
}

// Accept returns the next connection within the limit, and refuses those over it.
func (l *Limit) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}

		if l.open.Add(1) <= l.Max {
			return &countedConn{Conn: c, open: &l.open}, nil
		}

		l.open.Add(-1)
		l.refuse(c)
	}
}

func (l *Limit) refuse(c net.Conn) {
	if l.OnRefused != nil {
		l.OnRefused()
	}

	// A caller that does not read the response must not block Accept. The response
	// fits into the send buffer of a new connection.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Write(l.Refusal)
	_ = c.Close()
}

// countedConn decrements the number of open connections on its first Close.
type countedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })

	return c.Conn.Close()
}
