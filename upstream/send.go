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
)

// ErrGarbled means that no valid response to the request was received: the connection
// ended early, the message could not be parsed, or it belongs to another request.
var ErrGarbled = merry.Sentinel("answer is garbled")

const (
	// maxStrayResponses bounds the responses to other requests and the informational
	// responses (1xx) that are skipped on a connection.
	maxStrayResponses = 2
	// maxStrayBytes bounds the body of a response that is skipped.
	maxStrayBytes = 64 << 10
	// maxInlineMessage is the size in bytes up to which a request is written before its
	// response is read; it fits into the send buffer of a connection.
	maxInlineMessage = 2 << 10
)

// Send sends a request and returns its response once the header has been received.
// Cancelling ctx closes the connection, so that the backend server stops its work. The
// error wraps backend.ErrNotSent if no byte was sent, otherwise ErrGarbled or the error
// of ctx. The caller must close the response.
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

	a := &Response{pool: p, conn: conn}
	a.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	a.write(message)

	if err := a.readHeader(r); err != nil {
		a.Close()

		if ctx.Err() != nil {
			return nil, merry.Prepend(ctx.Err(), "send to "+s.Address)
		}

		return nil, merry.Prepend(err, "send to "+s.Address)
	}

	return a, nil
}

// Response is a response whose header has been received. Its body is read by one
// goroutine at a time.
type Response struct {
	pool *Pool
	conn *connection
	stop func() bool

	response *http.Response
	// written is set once the whole request was written to the connection.
	written  atomic.Bool
	bodyRead bool
	once     sync.Once
}

// write writes the message to the connection. A long message is written concurrently
// with reading the response, since a server may respond before it has read all of it.
func (a *Response) write(message []byte) {
	if len(message) <= maxInlineMessage {
		a.writeAll(message)

		return
	}

	go a.writeAll(message)
}

func (a *Response) writeAll(message []byte) {
	if _, err := a.conn.Write(message); err == nil {
		a.written.Store(true)
	}
}

func (a *Response) readHeader(r *Request) error {
	request := &http.Request{Method: r.Method}

	for range maxStrayResponses + 1 {
		response, err := http.ReadResponse(a.conn.reader, request)
		if err != nil {
			a.pool.Counters.garbledResponse()

			return merry.Prepend(ErrGarbled, "read response", merry.WithCause(err))
		}

		if response.StatusCode < http.StatusOK {
			continue
		}

		if response.Header.Get(r.IDHeader) == r.ID {
			a.response = response

			return nil
		}

		a.pool.Counters.strayResponse()

		if err := discardResponse(response); err != nil {
			return err
		}
	}

	return merry.Prepend(ErrGarbled, "too many responses to other requests")
}

// discardResponse reads a response to another request to its end.
func discardResponse(response *http.Response) error {
	defer response.Body.Close() //nolint:errcheck // it was read to its end or fails below

	if response.ContentLength < 0 || response.ContentLength > maxStrayBytes {
		return merry.Prepend(ErrGarbled, "response to another request is too long or has no length")
	}

	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return merry.Prepend(ErrGarbled, "read response to another request", merry.WithCause(err))
	}

	return nil
}

// Status returns the status code.
func (a *Response) Status() int { return a.response.StatusCode }

// Header returns the header fields.
func (a *Response) Header() http.Header { return a.response.Header }

// ContentLength returns the length of the body, or -1 where it is not known.
func (a *Response) ContentLength() int64 { return a.response.ContentLength }

// Read reads the body. It returns io.EOF only if the body is complete.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.bodyRead = true
	}

	return n, err
}

// ReadAll reads the whole body, of at most limit bytes. Its errors wrap ErrGarbled.
func (a *Response) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, merry.Prepend(ErrGarbled, "read response body", merry.WithCause(err))
	}

	if int64(len(body)) > limit {
		return nil, merry.Prepend(ErrGarbled, "response body is too long")
	}

	return body, nil
}

// Close releases the connection. It is kept for further requests if the body was read to
// its end and no other bytes were received; otherwise it is closed, which makes the
// backend server stop its work.
func (a *Response) Close() {
	a.once.Do(func() {
		// If it is too late to stop the context's function, that closes the connection.
		if !a.stop() || !a.reusable() {
			a.pool.closeConnection(a.conn)

			return
		}

		a.pool.putIdle(a.conn, idleTimeout(a.response.Header.Get("Keep-Alive")))
	})
}

func (a *Response) reusable() bool {
	return a.response != nil && a.bodyRead && a.written.Load() && !a.response.Close &&
		a.response.ProtoAtLeast(1, 1) && a.conn.reader.Buffered() == 0
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
