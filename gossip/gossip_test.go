package gossip

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"monsoonlever/clock"
)

func TestRunClosesSocketBeforeReturning(t *testing.T) {
	const rounds = 500

	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	address := conn.LocalAddr().String()

	for round := range rounds {
		ctx, cancel := context.WithCancel(t.Context())
		exchange := &Exchange{
			Conn: conn, Clock: clock.NewSteady(),
			// Cancels on a datagram, so that Run ends without an error of the socket.
			Receive: func(time.Time, netip.AddrPort, []byte) { cancel() },
		}

		if _, err := conn.WriteTo([]byte("x"), conn.LocalAddr()); err != nil {
			t.Fatal(err)
		}

		exchange.Run(ctx)
		cancel()

		if conn, err = net.ListenPacket("udp4", address); err != nil {
			t.Fatalf("round %d: got %v, want the address free", round, err)
		}
	}

	_ = conn.Close()
}
