package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"monsoonlever/buffer"
	"monsoonlever/clock"
)

// serveRaw starts a server that handles each connection with serve.
func serveRaw(t *testing.T, serve func(conn *net.TCPConn)) Server {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			if tcp, ok := conn.(*net.TCPConn); ok {
				go serve(tcp)
			}
		}
	}()

	return Server{ID: "a", Address: l.Addr().String()}
}

// Guards against a part of a response that its caller gets as a whole one: the server answers without a
// length and resets the connection while the request is written. The write takes the error of the
// reset, so that the read finds a regular end.
func TestResetWhileRequestIsWrittenEndsNoResponse(t *testing.T) {
	const attempts = 50

	for _, pause := range []time.Duration{0, time.Millisecond, 20 * time.Millisecond} {
		server := serveRaw(t, func(conn *net.TCPConn) {
			defer conn.Close()

			if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err != nil {
				return
			}

			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nId: r\r\n\r\npart"))
			time.Sleep(pause)
			_ = conn.SetLinger(0)
		})
		whole := 0

		for range attempts {
			pool := &Pool{Clock: clock.NewSteady()}

			response, err := pool.Send(t.Context(), server, &Request{
				Method: http.MethodPost, Target: "/", ID: "r", IDHeader: "Id", Body: make([]byte, 8<<20),
			})
			if err != nil {
				continue
			}

			if _, err := response.ReadAll((*buffer.Budget)(nil).Reserve(), endlessBytes); err == nil {
				whole++
			} else if !errors.Is(err, ErrGarbled) {
				t.Errorf("got %v, want an error that wraps %v", err, ErrGarbled)
			}

			response.Close()
		}

		if whole > 0 {
			t.Errorf("reset after %v: got %d of %d responses as whole, want none", pause, whole, attempts)
		}
	}
}

// Guards against a status that HTTP doesn't know, which callers got as an answer.
func TestResponseWithUnknownStatusIsGarbled(t *testing.T) {
	for status, want := range map[string]bool{"000": true, "099": true, "200": false, "599": false, "600": true, "999": true} {
		server := serveRaw(t, func(conn *net.TCPConn) {
			defer conn.Close()

			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}

			_, _ = conn.Write([]byte("HTTP/1.1 " + status + " X\r\nId: r\r\nContent-Length: 2\r\n\r\nok"))
		})

		response, err := (&Pool{Clock: clock.NewSteady()}).Send(t.Context(), server, &Request{Method: http.MethodGet, Target: "/", ID: "r", IDHeader: "Id"})
		if err == nil {
			response.Close()
		}

		if got := errors.Is(err, ErrGarbled); got != want {
			t.Errorf("status %s is garbled: got %v (%v), want %v", status, got, err, want)
		}
	}
}
