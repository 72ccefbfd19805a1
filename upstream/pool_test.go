package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"monsoonlever/backend"
	"monsoonlever/clock"
)

// silent starts a server that accepts connections and never responds. The channel gets a
// value for each connection that ends.
func silent(t *testing.T) (Server, <-chan struct{}) {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	ended := make(chan struct{}, 8)

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
				ended <- struct{}{}
			}()
		}
	}()

	return Server{ID: "i-1", Address: l.Addr().String()}, ended
}

// Guards against a request that waits until its deadline for a server that was restarted:
// the new process does not have the request, and the connection stays without traffic.
func TestACutEndsRequestsThatWait(t *testing.T) {
	server, ended := silent(t)
	pool := &Pool{Clock: clock.NewSteady()}
	failed := make(chan error, 1)

	go func() {
		_, err := pool.Send(context.Background(), server, &Request{Method: "GET", Target: "/", ID: "r", IDHeader: "Request-Id"})
		failed <- err
	}()

	limit := time.After(5 * time.Second)

	for done := false; !done; {
		pool.Cut(server.ID)

		select {
		case <-limit:
			t.Fatal("after the cut: the request still waits, want its error")
		case err := <-failed:
			done = true

			if err == nil {
				t.Error("got an answer, want an error")
			}
		case <-time.After(10 * time.Millisecond):
		}
	}

	<-ended
}

// Guards against a request whose connection is dialled while its server is cut: no later Cut
// reaches that connection, so that the request would wait until its deadline.
func TestCutEndsRequestsWhoseConnectionIsDialled(t *testing.T) {
	server, _ := silent(t)
	dialling, proceed := make(chan struct{}), make(chan struct{})
	pool := &Pool{Clock: clock.NewSteady(), Dial: func(ctx context.Context, address string) (net.Conn, error) {
		close(dialling)
		<-proceed

		return Dialer(DefaultDialTimeout).DialContext(ctx, "tcp4", address)
	}}
	failed := make(chan error, 1)

	go func() {
		_, err := pool.Send(context.Background(), server, &Request{Method: "GET", Target: "/", ID: "r", IDHeader: "Request-Id"})
		failed <- err
	}()

	<-dialling
	pool.Cut(server.ID)
	close(proceed)

	select {
	case <-time.After(5 * time.Second):
		t.Fatal("after the cut: the request still waits, want its error")
	case err := <-failed:
		if !errors.Is(err, ErrCut) || !errors.Is(err, backend.ErrNotSent) {
			t.Errorf("got %v, want an error that wraps %v and %v", err, ErrCut, backend.ErrNotSent)
		}
	}

	if got := pool.OpenConnections(server.ID); got != 0 {
		t.Errorf("open connections: got %d, want 0", got)
	}
}

// Guards against a request that waits until its deadline for a server whose entry was removed
// before the server was found to have been restarted.
func TestCutEndsRequestsToRemovedServer(t *testing.T) {
	server, ended := silent(t)
	pool := &Pool{Clock: clock.NewSteady()}

	conn, err := pool.get(context.Background(), server, true)
	if err != nil {
		t.Fatal(err)
	}

	pool.RemoveServer(server.ID)

	if got, want := pool.Draining(server.ID), true; got != want {
		t.Errorf("draining after the removal: got %v, want %v", got, want)
	}

	pool.Cut(server.ID)
	<-ended
	pool.closeConnection(conn)

	if got, want := pool.Draining(server.ID), false; got != want {
		t.Errorf("draining after the cut: got %v, want %v", got, want)
	}
}

// Checks that a removed server is forgotten once its last request has ended.
func TestRemovedServerIsForgottenAfterItsRequests(t *testing.T) {
	server, _ := silent(t)
	pool := &Pool{Clock: clock.NewSteady()}

	var conns []*connection

	for range 2 {
		conn, err := pool.get(context.Background(), server, true)
		if err != nil {
			t.Fatal(err)
		}

		conns = append(conns, conn)
	}

	pool.RemoveServer(server.ID)
	pool.putIdle(conns[0], time.Second)

	if got, want := pool.Draining(server.ID), true; got != want {
		t.Errorf("draining with one request: got %v, want %v", got, want)
	}

	pool.closeConnection(conns[1])

	if got, want := len(pool.removed), 0; got != want {
		t.Errorf("removed servers: got %d, want %d", got, want)
	}
}

// Guards against counting connections to the previous process of a server towards the
// connection limit of its new process.
func TestConnectionLimitExcludesPreviousProcess(t *testing.T) {
	server, _ := silent(t)
	pool := &Pool{Clock: clock.NewSteady()}

	before, err := pool.get(context.Background(), server, true)
	if err != nil {
		t.Fatal(err)
	}

	pool.RemoveServer(server.ID)
	pool.SetLimit(server.ID, 1)

	if got := pool.OpenConnections(server.ID); got != 0 {
		t.Errorf("open to the next process: got %d, want 0", got)
	}

	next, err := pool.get(context.Background(), server, true)
	if err != nil {
		t.Fatalf("first connection to the next process: got %v, want one", err)
	}

	pool.putIdle(before, time.Second)
	pool.putIdle(next, time.Second)

	if got := pool.OpenConnections(server.ID); got != 1 {
		t.Errorf("open to the next process: got %d, want the 1 that is kept", got)
	}
}
