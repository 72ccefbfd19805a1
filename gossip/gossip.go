// Package gossip passes small news between entry instances in datagrams.
//
// Each instance sends its newest word to every other at a steady pace. A datagram
// that is lost is made good by the next, so that a word has to stand by itself.
// The pace slows with the number of instances, which bounds the messages of each.
//
// # Usage
//
//	e := &gossip.Exchange{Conn: conn, Clock: clk, Peers: addresses, Words: words, Receive: receive}
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
	// MaxMessageBytes bounds a word to what a datagram holds without being split.
	MaxMessageBytes = 1400
	// IntervalPerPeer is the time between two words per peer: at most some 170 datagrams a
	// second leave an instance, however many there are.
	IntervalPerPeer = 6 * time.Millisecond
	// minInterval keeps few instances from waking each other more often than the news
	// is worth.
	minInterval = 150 * time.Millisecond
)

// Interval returns the time between two words of an instance with n peers.
func Interval(n int) time.Duration {
	return max(time.Duration(n)*IntervalPerPeer, minInterval)
}

// Exchange sends and receives. Its fields are set before Run.
type Exchange struct {
	Conn  net.PacketConn
	Clock clock.Clock
	// Peers return the current receivers and their addresses, in groups. Each group has its own
	// pace, which follows from its size.
	Peers []func(now time.Time) map[fleet.InstanceID]netip.AddrPort
	// Messages prepares the newest words of a round, and returns what makes those for one
	// instance, of at most MaxWord bytes each.
	Messages func(now time.Time) func(to fleet.InstanceID) ([][]byte, error)
	// Receive takes a word in, with where it came from. The bytes are valid until it
	// returns.
	Receive func(now time.Time, from netip.AddrPort, word []byte)
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

// Send sends one datagram at once. It may be lost like any other.
func (e *Exchange) Send(to netip.AddrPort, data []byte) error {
	_, err := e.Conn.WriteTo(data, net.UDPAddrFromAddrPort(to))

	return err
}

func (e *Exchange) sendAll(peers map[fleet.InstanceID]netip.AddrPort) {
	if len(peers) == 0 {
		return
	}

	wordsFor := e.Messages(e.Clock.Now())

	for id, address := range peers {
		words, err := wordsFor(id)
		if err != nil {
			klog.ErrorS(err, "words are not sent", "to", id)

			continue
		}

		for _, word := range words {
			if len(word) > MaxMessageBytes {
				klog.ErrorS(nil, "word is not sent: it is too long", "to", id, "bytes", len(word))

				continue
			}

			// A peer that is gone or cut off hears the next word or none.
			_ = e.Send(address, word)
		}
	}
}

// addressOf returns the address of a datagram's sender; the zero value is not known.
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
				klog.ErrorS(err, "gossip is not received")
				clock.Sleep(ctx, e.Clock, minInterval)
			}

			continue
		}

		e.Receive(e.Clock.Now(), addressOf(from), buffer[:n])
	}
}
