package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/buffer"
	"monsoonlever/clock"
)

// endlessBytes is how much the servers of these tests send if nobody closes the connection.
const endlessBytes = 4 << 20

// endlessServer answers each request with begin, and then with repeated until the connection is
// closed or endlessBytes are sent.
type endlessServer struct {
	begin, repeated string
	// pause is the time between two writes.
	pause time.Duration
	// sent counts the bytes that the other end has read.
	sent atomic.Int64
}

func (s *endlessServer) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()

	go s.serve(far)

	return near, nil
}

func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()

	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}

	for text := s.begin; s.sent.Load() < endlessBytes; text = s.repeated {
		n, err := conn.Write([]byte(text))
		s.sent.Add(int64(n))

		if err != nil {
			return
		}

		time.Sleep(s.pause)
	}
}

// Guards against a response header without an end, which an instance kept in memory until it was
// killed together with all requests of its other callers.
func TestEndlessHeaderIsCut(t *testing.T) {
	block := strings.Repeat("x", 4<<10)

	for name, s := range map[string]*endlessServer{
		"status line":           {begin: "HTTP/1.1 200 ", repeated: block},
		"bytes without a line":  {begin: block, repeated: block},
		"header field":          {begin: "HTTP/1.1 200 OK\r\nA: ", repeated: block},
		"many header fields":    {begin: "HTTP/1.1 200 OK\r\n", repeated: strings.Repeat("a:\r\n", 1<<10)},
		"continued field":       {begin: "HTTP/1.1 200 OK\r\nA: b\r\n", repeated: strings.Repeat(" c\r\n", 1<<10)},
		"informational":         {begin: "", repeated: "HTTP/1.1 100 Continue\r\nA: " + block + "\r\n\r\n"},
		"after informational":   {begin: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ", repeated: block},
		"after another request": {begin: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n", repeated: block},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			pool := &Pool{Clock: clock.NewSteady(), Dial: s.dial}
			_, err := pool.Send(t.Context(), Server{ID: "a"}, &Request{Method: http.MethodGet, Target: "/", ID: "r", IDHeader: "Id"})

			if !errors.Is(err, ErrGarbled) || errors.Is(err, backend.ErrNotSent) {
				t.Errorf("got %v, want an error that wraps %v: the request may have run", err, ErrGarbled)
			}

			const headers = maxStrayResponses + 1
			if got, want := s.sent.Load(), int64(headers*maxHeaderBytes); got > want {
				t.Errorf("bytes read: got %d, want at most %d", got, want)
			}

			if got, want := pool.OpenConnections("a"), 0; got != want {
				t.Errorf("open connections: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a header that never ends because its bytes come slowly, by which a request was held
// until its deadline although another server could take it.
func TestTricklingHeaderIsCut(t *testing.T) {
	s := &endlessServer{begin: "HTTP/1.1 200 OK\r\nA: ", repeated: "x", pause: 10 * time.Millisecond}
	pool := &Pool{Clock: clock.NewSteady(), Dial: s.dial}

	ctx, cancel := context.WithTimeout(t.Context(), 4*headerTimeout)
	defer cancel()

	_, err := pool.Send(ctx, Server{ID: "a"}, &Request{Method: http.MethodGet, Target: "/", ID: "r", IDHeader: "Id"})
	if !errors.Is(err, ErrGarbled) || !errors.Is(err, ErrHeaderTooSlow) {
		t.Errorf("got %v, want an error that wraps %v and %v", err, ErrGarbled, ErrHeaderTooSlow)
	}
}

// Checks that the bounds of a header concern neither a long valid header nor the body after it, which
// may be longer and come later.
func TestHeaderBoundsEndWithHeader(t *testing.T) {
	field := "A: " + strings.Repeat("x", maxHeaderBytes/2) + "\r\n"
	body := strings.Repeat("y", 4*maxHeaderBytes)

	pool := &Pool{Clock: clock.NewSteady(), Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()

		go func() {
			reader := bufio.NewReader(far)

			for range 2 {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}

				// Two writes of the header set the deadline for its end.
				_, _ = far.Write([]byte("HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 65536\r\n"))
				_, _ = far.Write([]byte(field + "\r\n" + body[:100]))
				time.Sleep(headerTimeout + 200*time.Millisecond)
				_, _ = far.Write([]byte(body[100:]))
			}
		}()

		return near, nil
	}}

	for range 2 {
		response, err := pool.Send(t.Context(), Server{ID: "a"}, &Request{Method: http.MethodGet, Target: "/", ID: "r", IDHeader: "Id"})
		if err != nil {
			t.Fatal(err)
		}

		got, err := response.ReadAll((*buffer.Budget)(nil).Reserve(), endlessBytes)
		if err != nil || string(got) != body {
			t.Errorf("got %d bytes, %v, want %d", len(got), err, len(body))
		}

		response.Close()
	}
}

// Guards against the body of a rejection without an end, which is read only so that its connection can
// be reused, while the request could go to another server.
func TestEndlessBodyIsNotDiscardedToItsEnd(t *testing.T) {
	block := strings.Repeat("x", 4<<10)
	header := "HTTP/1.1 503 X\r\nId: r\r\n"

	for name, s := range map[string]*endlessServer{
		"with a length":    {begin: header + "Content-Length: 1099511627776\r\n\r\n", repeated: block},
		"in chunks":        {begin: header + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1000\r\n" + block + "\r\n"},
		"with neither":     {begin: header + "\r\n", repeated: block},
		"chunk extensions": {begin: header + "Transfer-Encoding: chunked\r\n\r\n", repeated: "1;" + block[:1000] + "\r\nx\r\n"},
		"trailer":          {begin: header + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\nA: ", repeated: block},
		"slowly":           {begin: header + "\r\n", repeated: "x", pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()

			pool := &Pool{Clock: clock.NewSteady(), Dial: s.dial}

			response, err := pool.Send(t.Context(), Server{ID: "a"}, &Request{Method: http.MethodGet, Target: "/", ID: "r", IDHeader: "Id"})
			if err != nil {
				t.Fatal(err)
			}

			began := time.Now()

			response.Discard()

			if got, want := time.Since(began), time.Second; got > want {
				t.Errorf("time to discard: got %v, want at most %v", got, want)
			}

			// Chunks carry bytes beside the body, by which they may be up to twice as long.
			if got, want := s.sent.Load(), int64(2*maxDiscardedBytes); got > want {
				t.Errorf("bytes read: got %d, want at most %d", got, want)
			}

			response.Close()

			if got, want := pool.OpenConnections("a"), 0; got != want {
				t.Errorf("open connections: got %d, want %d", got, want)
			}
		})
	}
}
