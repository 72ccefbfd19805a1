package listener

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

const (
	// writeTimeout bounds the time in which a client reads writeChunk bytes of a response.
	writeTimeout = 30 * time.Second
	writeChunk   = 32 << 10
)

// connection is a connection of a Guard.
type connection struct {
	net.Conn

	guard *Guard
	// phase and the neighbours in its list are guarded by the guard.
	phase          phase
	previous, next *connection

	// awaitsRequest is set until the first byte of a request arrives.
	awaitsRequest atomic.Bool
	// writingSince is when the current write began, in Unix nanoseconds, zero if there is none.
	writingSince atomic.Int64
}

// Read reads what a client sent.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.awaitsRequest.CompareAndSwap(true, false) {
		c.guard.enter(c, phaseHeader)
	}

	return n, err
}

// Write writes a part of a response. A client that reads too slowly fails it.
func (c *connection) Write(p []byte) (int, error) {
	c.writingSince.Store(c.guard.Clock.Now().UnixNano())
	defer c.writingSince.Store(0)

	written := 0

	for {
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}

		n, err := c.Conn.Write(p[:min(len(p), writeChunk)])
		written, p = written+n, p[n:]

		if err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// Close closes the connection.
func (c *connection) Close() error {
	c.guard.forget(c)

	return c.Conn.Close()
}

// CloseWrite ends what the client reads, as in net.TCPConn.
func (c *connection) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}

	return errors.ErrUnsupported
}

// SetLinger sets what Close does with bytes that were not sent yet, as in net.TCPConn.
func (c *connection) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}

	return errors.ErrUnsupported
}

// bodyReader is the body of a request.
type bodyReader struct {
	io.ReadCloser

	conn *connection
}

// Read reads a part of the body. At its end the request counts as served.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.conn.guard.enter(b.conn, phaseServed)
	}

	return n, err
}
