package listener

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"monsoonlever/buffer"
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

	// awaitsRequest is set until the first byte of a request arrives, inHeader from then on until its
	// header is complete, and kept once the connection has carried a request.
	awaitsRequest, inHeader, kept atomic.Bool
	// header is what has arrived of a header. Only the goroutine that reads headers uses it.
	header headerSize

	memoryMu sync.Mutex
	// memory is that of the header, guarded by memoryMu.
	memory *buffer.Reservation
	// writingSince is when the write of the current chunk began, in Unix nanoseconds, zero if there is none.
	writingSince atomic.Int64
}

// Read reads what a client sent.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.awaitsRequest.CompareAndSwap(true, false) {
		c.header = headerSize{}
		c.inHeader.Store(true)
		c.guard.enter(c, phaseHeader)
	}

	if n > 0 && c.inHeader.Load() {
		if refusal := c.countHeader(p[:n]); refusal != "" {
			c.guard.enter(c, phaseRefused)
			writeRefusal(c.Conn, refusal)

			return 0, io.EOF
		}
	}

	return n, err
}

// countHeader counts a part of a header, and returns the refusal of one that is too large.
func (c *connection) countHeader(part []byte) string {
	c.header.add(part)

	if limit := c.limits().HeaderBytes; limit > 0 && c.header.bytes > limit+headerSlop {
		return refusalTooLarge
	}

	if c.reserve(c.header.memory()) != nil {
		return refusalOverloaded
	}

	return ""
}

// reserve sets the memory of the header in bytes. The error wraps buffer.ErrExhausted.
func (c *connection) reserve(bytes int64) error {
	c.memoryMu.Lock()
	defer c.memoryMu.Unlock()

	return c.memory.Resize(bytes)
}

func (c *connection) release() {
	c.memoryMu.Lock()
	defer c.memoryMu.Unlock()
	c.memory.Release()
}

// beginServing ends the header of a request.
func (c *connection) beginServing() {
	c.awaitsRequest.Store(false)
	c.inHeader.Store(false)
}

// endRequest makes the connection wait for the next request.
func (c *connection) endRequest() {
	c.release()
	c.kept.Store(true)
	c.awaitsRequest.Store(true)
}

func (c *connection) limits() Limits {
	if c.guard.Limits == nil {
		return Limits{}
	}

	return c.guard.Limits()
}

// SetReadDeadline sets the deadline of reads. While a request is awaited or its header arrives, the
// limits in force replace a timeout of the server.
func (c *connection) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		// net/http has a whole header. Before the handler begins, it already reads on in the background.
		c.beginServing()
	}

	awaited := c.awaitsRequest.Load()

	if now := time.Now(); t.After(now) && (awaited || c.inHeader.Load()) {
		limits := c.limits()
		timeout := limits.HeaderTimeout

		if awaited && c.kept.Load() {
			timeout = limits.IdleTimeout
		}

		if timeout > 0 {
			t = now.Add(timeout)
		}
	}

	return c.Conn.SetReadDeadline(t)
}

// Write writes a part of a response. A client that reads too slowly fails it.
func (c *connection) Write(p []byte) (int, error) {
	defer c.writingSince.Store(0)

	written := 0

	for {
		c.writingSince.Store(c.guard.Clock.Now().UnixNano())

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
	c.release()

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
