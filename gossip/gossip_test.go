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
	const turns = 500

	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	address := conn.LocalAddr().String()

	for turn := range turns {
		ctx, cancel := context.WithCancel(t.Context())
		exchange := &Exchange{
			Conn: conn, Clock: clock.NewSteady(),
			// A datagram that comes with the stop ends the exchange without an error of the socket.
			Receive: func(time.Time, netip.AddrPort, []byte) { cancel() },
		}

		if _, err := conn.WriteTo([]byte("x"), conn.LocalAddr()); err != nil {
			t.Fatal(err)
		}

		exchange.Run(ctx)
		cancel()

		if conn, err = net.ListenPacket("udp4", address); err != nil {
			t.Fatalf("turn %d: got %v, want the address free", turn, err)
		}
	}

	_ = conn.Close()
}
