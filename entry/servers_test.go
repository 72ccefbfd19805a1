package entry

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/register"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// startHangingServer starts a server that accepts connections and never responds, and returns its
// address. The channel gets a value for each connection that is accepted.
func startHangingServer(t *testing.T) (string, <-chan struct{}) {
	t.Helper()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	t.Cleanup(func() { _ = l.Close() })

	accepted := make(chan struct{}, 8)

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			accepted <- struct{}{}

			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()

	return l.Addr().String(), accepted
}

// Guards against a request that waits until its deadline for a process that has ended: the entry of
// its server had lapsed when the next process registered.
func TestRestartOfRemovedServerEndsItsRequests(t *testing.T) {
	tests := []struct {
		desc  string
		next  fleet.Incarnation
		ended bool
	}{
		{desc: "another process", next: 2, ended: true},
		{desc: "the same process", next: 1, ended: false},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			address, accepted := startHangingServer(t)
			clk := clock.System{}
			p := &components{clock: clk, pool: &upstream.Pool{Clock: clk}, scheduler: &scheduling.Scheduler{}}
			p.register = &register.Register{}

			ctx, cancel := context.WithCancel(t.Context())
			failed := make(chan error, 1)

			go func() {
				_, err := p.pool.Send(ctx, upstream.Server{ID: "i-1", Address: address},
					&upstream.Request{Method: "GET", Target: "/", ID: "r", IDHeader: "Request-Id"})
				failed <- err
			}()

			<-accepted

			before := register.Server{ID: "i-1", Address: address, Incarnation: 1}
			after := before
			after.Incarnation = tt.next

			p.applyServerChanges([]register.Delta{{Before: &before}})
			p.applyServerChanges([]register.Delta{{After: &after}})

			if got, want := p.pool.Draining("i-1"), !tt.ended; got != want {
				t.Errorf("connections of the removed server are kept: got %v, want %v", got, want)
			}

			if !tt.ended {
				cancel()
			}

			select {
			case <-failed:
			case <-time.After(5 * time.Second):
				t.Error("got a request that waits, want its error")
			}

			cancel()
		})
	}
}

// Guards against connections of a server that no instance may use, and against more than there are.
func TestSplitUsesAllConnections(t *testing.T) {
	for _, tt := range []struct{ total, members, want int }{{16, 9, 16}, {16, 8, 16}, {7, 3, 7}, {96, 12, 96}, {5, 9, 9}} {
		for offset := range uint64(20) {
			sum, least, most := 0, tt.total, 0

			for i := range tt.members {
				part := splitEvenly(tt.total, tt.members, i, offset)
				sum, least, most = sum+part, min(least, part), max(most, part)
			}

			if sum != tt.want || most-least > 1 {
				t.Errorf("%d among %d: got %d in all, %d to %d each, want %d, evenly", tt.total, tt.members, sum, least, most, tt.want)
			}
		}
	}

	if got := splitEvenly(16, 9, -1, 0); got != 1 {
		t.Errorf("instance that is not among the members: got %d, want 1", got)
	}
}
