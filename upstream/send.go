package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
	"monsoonlever/buffer"
)

// ErrGarbled means that no valid response to the request was received: the connection
// ended early, the message could not be parsed, or it belongs to another request.
var ErrGarbled = merry.Sentinel("answer is garbled")

const (
	// maxStrayResponses bounds the responses to other requests and the informational
	// responses (1xx) that are skipped on a connection.
	maxStrayResponses = 2
	// maxDiscardedBytes and discardTimeout bound a body that is read only so that its connection can
	// be used again: beyond them a new connection costs less.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 100 * time.Millisecond
	// maxStatus is the largest status code of HTTP.
	maxStatus = 599
	// writeEndTimeout bounds the wait for the rest of a request whose response has ended with its
	// connection.
	writeEndTimeout = time.Second
	// maxInlineMessage is the size in bytes up to which a request is written before its
	// response is read; it fits into the send buffer of a connection.
	maxInlineMessage = 2 << 10
)

// Send sends a request and returns its response once the header has been received.
// Cancelling ctx closes the connection, so that the backend server stops its work. The
// error wraps backend.ErrNotSent if no byte was sent, otherwise ErrGarbled, ErrInterrupted or the
// error of ctx. The caller must close the response.
func (p *Pool) Send(ctx context.Context, s Server, r *Request) (*Response, error) {
	message, err := r.encode()
	if err != nil {
		return nil, merry.Prepend(backend.ErrNotSent, "encode request", merry.WithCause(err))
	}

	conn, err := p.get(ctx, s, r.RequireFresh)
	if err != nil {
		return nil, err
	}

	if r.BeforeSend != nil {
		if err := r.BeforeSend(); err != nil {
			p.closeConnection(conn)

			return nil, merry.Prepend(backend.ErrNotSent, "check before send", merry.WithCause(err))
		}
	}

	resp := &Response{pool: p, conn: conn, newConnection: !conn.kept, writeEnded: make(chan struct{})}
	resp.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })

	if r.Repeatable {
		conn.repeatable.Store(true)
		defer conn.repeatable.Store(false)
	}

	resp.write(message)

	if err := resp.readHeader(r); err != nil {
		resp.Close()

		if conn.interrupted.Load() {
			return nil, merry.Prepend(ErrInterrupted, "send to "+s.Address)
		}

		if ctx.Err() != nil {
			return nil, merry.Prepend(ctx.Err(), "send to "+s.Address)
		}

		return nil, merry.Prepend(err, "send to "+s.Address)
	}

	return resp, nil
}

// Response is a response whose header has been received. Its body is read by one
// goroutine at a time.
type Response struct {
	pool *Pool
	conn *connection
	stop func() bool

	response *http.Response
	// writeEnded is closed once no more of the request is written, and written set if all of it was.
	writeEnded chan struct{}
	written    atomic.Bool
	// newConnection is set if the connection has carried no request before.
	newConnection bool
	// bodyRead is set once the body was read to its end.
	bodyRead bool
	once     sync.Once
}

// write writes the message to the connection. A long message is written concurrently
// with reading the response, since a server may respond before it has read all of it.
func (resp *Response) write(message []byte) {
	if len(message) <= maxInlineMessage {
		resp.writeAll(message)

		return
	}

	go resp.writeAll(message)
}

func (resp *Response) writeAll(message []byte) {
	defer close(resp.writeEnded)

	if _, err := resp.conn.Write(message); err == nil {
		resp.written.Store(true)
	}
}

func (resp *Response) readHeader(r *Request) error {
	request := &http.Request{Method: r.Method}

	for range maxStrayResponses + 1 {
		resp.conn.input.beginHeader()

		response, err := http.ReadResponse(resp.conn.reader, request)

		resp.conn.input.endHeader()

		if err != nil {
			resp.pool.Counters.garbledResponse()

			return merry.Prepend(ErrGarbled, "read response", merry.WithCause(err))
		}

		if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
			resp.pool.Counters.garbledResponse()

			return merry.Prependf(ErrGarbled, "status %03d", response.StatusCode)
		}

		if response.StatusCode < http.StatusOK {
			continue
		}

		if response.Header.Get(r.IDHeader) == r.ID {
			resp.response = response

			return nil
		}

		resp.pool.Counters.strayResponse()

		if err := resp.conn.discard(response); err != nil {
			return err
		}
	}

	return merry.Prepend(ErrGarbled, "too many responses to other requests")
}

// discard reads a response to another request to its end.
func (c *connection) discard(response *http.Response) error {
	defer response.Body.Close() //nolint:errcheck // it was read to its end or fails below

	if response.ContentLength < 0 || response.ContentLength > maxDiscardedBytes {
		return merry.Prepend(ErrGarbled, "response to another request is too long or has no length")
	}

	if err := c.discardBody(response.Body); err != nil {
		return merry.Prepend(ErrGarbled, "read response to another request", merry.WithCause(err))
	}

	return nil
}

// discardBody reads up to maxDiscardedBytes of a body within discardTimeout.
func (c *connection) discardBody(body io.Reader) error {
	if err := c.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return err
	}

	_, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardedBytes))

	return errors.Join(err, c.SetReadDeadline(time.Time{}))
}

// OnNewConnection reports whether the connection was opened for this request.
func (resp *Response) OnNewConnection() bool { return resp.newConnection }

// Status returns the status code.
func (resp *Response) Status() int { return resp.response.StatusCode }

// Header returns the header fields.
func (resp *Response) Header() http.Header { return resp.response.Header }

// ContentLength returns the length of the body, or -1 where it is not known.
func (resp *Response) ContentLength() int64 { return resp.response.ContentLength }

// EndsWithConnection reports whether the body has neither a length nor chunks: its end then looks
// like that of its server's process.
func (resp *Response) EndsWithConnection() bool {
	return resp.response.ContentLength < 0 && len(resp.response.TransferEncoding) == 0
}

// Read reads the body. It returns io.EOF only if the body is complete.
func (resp *Response) Read(b []byte) (int, error) {
	n, err := resp.response.Body.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}

	if resp.EndsWithConnection() && !resp.wroteRequest() {
		return n, merry.Prepend(ErrGarbled, "connection ended before the request was written")
	}

	resp.bodyRead = true

	return n, err
}

// wroteRequest waits for the end of the write and reports whether the whole request was written. A
// connection that is reset reports that to a write or a read, whichever comes first, and the other finds a
// regular end.
func (resp *Response) wroteRequest() bool {
	select {
	case <-resp.writeEnded:
	case <-resp.pool.Clock.After(writeEndTimeout):
	}

	return resp.written.Load()
}

// ReadAll reads the whole body, of at most limit bytes, into memory that is reserved. Its errors wrap
// ErrGarbled.
func (resp *Response) ReadAll(memory *buffer.Reservation, limit int64) ([]byte, error) {
	body, err := memory.ReadAll(resp, limit)
	if err != nil {
		return nil, merry.Prepend(ErrGarbled, "read response body", merry.WithCause(err))
	}

	return body, nil
}

// Discard reads the rest of a body that nobody needs, so that its connection can be reused. A long or
// slow one is left unread, and Close then closes the connection.
func (resp *Response) Discard() {
	if err := resp.conn.discardBody(resp); err != nil {
		resp.bodyRead = false
	}
}

// Close releases the connection. It is kept for further requests if the body was read to
// its end and no other bytes were received; otherwise it is closed, which makes the
// backend server stop its work.
func (resp *Response) Close() {
	resp.once.Do(func() {
		// If it is too late to stop the context's function, that closes the connection.
		if !resp.stop() || !resp.reusable() {
			resp.pool.closeConnection(resp.conn)

			return
		}

		resp.pool.putIdle(resp.conn, idleTimeout(resp.response.Header.Get("Keep-Alive")))
	})
}

func (resp *Response) reusable() bool {
	return resp.response != nil && resp.bodyRead && resp.written.Load() && !resp.response.Close &&
		resp.response.ProtoAtLeast(1, 1) && resp.conn.reader.Buffered() == 0
}

// idleTimeout returns how long a connection may be idle and still be reused, from the
// value of a Keep-Alive header, whose timeout is in seconds.
func idleTimeout(header string) time.Duration {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(float64(seconds) * idleTimeoutShare * float64(time.Second))
		}
	}

	return defaultIdleTimeout
}
