// Package gossip sends small state messages between entry instances as datagrams.
//
// Each instance sends its newest state to every peer at regular intervals. A lost datagram is
// not repeated; the next one replaces it, so every message must be complete in itself. The
// interval grows with the number of peers, which bounds the messages that one instance sends.
//
// # Usage
//
//	e := &gossip.Exchange{Conn: conn, Clock: clk, Peers: peers, Messages: messages, Receive: receive}
//	e.Run(ctx)
package gossip

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const (
	// MaxMessageBytes bounds a message to a datagram that is not fragmented.
	MaxMessageBytes = 1400
	// IntervalPerPeer is the time between two messages per peer. It bounds the rate of an
	// instance to about 170 datagrams a second for any number of peers.
	IntervalPerPeer = 6 * time.Millisecond
	// minInterval bounds the rate in small fleets, where more frequent messages would cost more
	// wake-ups than the state is worth.
	minInterval = 150 * time.Millisecond
)

// Interval returns the time between two messages to a peer for an instance with n peers.
func Interval(n int) time.Duration {
	return max(time.Duration(n)*IntervalPerPeer, minInterval)
}

// Exchange sends and receives messages. Its fields are set before Run.
type Exchange struct {
	Conn  net.PacketConn
	Clock clock.Clock
	// Peers return the current receivers and their addresses, in groups. Each group has its own
	// interval, which follows from its size.
	Peers []func(now time.Time) map[fleet.InstanceID]netip.AddrPort
	// Messages prepares the messages of a round and returns a function that encodes those for
	// one instance, each of at most MaxMessageBytes.
	Messages func(now time.Time) func(to fleet.InstanceID) ([][]byte, error)
	// Receive handles a message and the address of its sender. The bytes are valid until it
	// returns.
	Receive func(now time.Time, from netip.AddrPort, message []byte)
}

// Run sends and receives until ctx ends, and closes the connection.
func (e *Exchange) Run(ctx context.Context) {
	var group conc.WaitGroup

	group.Go(func() {
		<-ctx.Done()

		_ = e.Conn.Close()
	})
	group.Go(func() { e.receive(ctx) })

	for _, peers := range e.Peers {
		group.Go(func() { e.send(ctx, peers) })
	}

	group.Wait()
}

func (e *Exchange) send(ctx context.Context, peersOf func(time.Time) map[fleet.InstanceID]netip.AddrPort) {
	for ctx.Err() == nil {
		peers := peersOf(e.Clock.Now())
		e.sendAll(peers)
		clock.Sleep(ctx, e.Clock, Interval(len(peers)))
	}
}

// Send sends one datagram immediately. It may be lost like any other; the error is that of the
// local socket.
func (e *Exchange) Send(to netip.AddrPort, data []byte) error {
	_, err := e.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))

	return err
}

func (e *Exchange) sendAll(peers map[fleet.InstanceID]netip.AddrPort) {
	if len(peers) == 0 {
		return
	}

	messagesFor := e.Messages(e.Clock.Now())

	for id, address := range peers {
		messages, err := messagesFor(id)
		if err != nil {
			klog.ErrorS(err, "gossip messages not sent", "to", id)

			continue
		}

		for _, message := range messages {
			if len(message) > MaxMessageBytes {
				klog.ErrorS(nil, "gossip message not sent: too long", "to", id, "bytes", len(message))

				continue
			}

			// An unreachable peer misses this message; the next round sends a new one.
			_ = e.Send(address, message)
		}
	}
}

// addressOf returns the address of a datagram's sender, or the zero value if it is unknown.
func addressOf(a net.Addr) netip.AddrPort {
	if udp, ok := a.(*net.UDPAddr); ok {
		at := udp.AddrPort()

		return netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
	}

	return netip.AddrPort{}
}

func (e *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, MaxMessageBytes)

	for ctx.Err() == nil {
		n, from, err := e.Conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.ErrorS(err, "gossip receive failed")
				clock.Sleep(ctx, e.Clock, minInterval)
			}

			continue
		}

		e.Receive(e.Clock.Now(), addressOf(from), buffer[:n])
	}
}
