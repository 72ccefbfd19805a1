package replica

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"monsoonlever/clock"
)

// Guards against connections that send nothing and keep other instances out, and against a request
// whose declared length takes memory.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	server := &Server{Clock: clock.NewSteady(), MaxConnections: 2}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)
		server.Run(ctx, l)
	}()

	defer func() { stop(); <-done }()

	dial := func() net.Conn {
		conn, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}

		t.Cleanup(func() { _ = conn.Close() })

		if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}

		return conn
	}

	exchange := func(conn net.Conn) error {
		var f frame

		return errors.Join(writeMessage(conn, request{Feed: "unknown"}), readMessage(conn, &f))
	}

	used, silent := dial(), dial()
	if err := exchange(used); err != nil {
		t.Fatal(err)
	}

	if err := exchange(dial()); err != nil {
		t.Errorf("new connection: got %v, want a response", err)
	}

	if n, err := silent.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		t.Errorf("silent connection: got %d bytes, %v, want it closed", n, err)
	}

	if err := exchange(used); err != nil {
		t.Errorf("used connection: got %v, want a response", err)
	}

	// Both have sent requests: the new one is closed.
	if err := exchange(dial()); err == nil {
		t.Error("connection over the bound: got a response, want none")
	}
}
