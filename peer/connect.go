package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
)

// serveConn performs the handshake on an accepted connection and reads frames
// until it breaks.
func (n *Node) serveConn(ctx context.Context, raw net.Conn) {
	c, err := n.handshake(ctx, tls.Server(raw, n.TLS))
	if err != nil {
		n.reportRefusal(raw.RemoteAddr().String(), err)
		_ = raw.Close()

		return
	}

	if l := n.link(c.sender.address); l != nil {
		l.attach(c)
	}

	n.readFrames(ctx, c)
}

// dial connects to address, performs the handshake and starts a goroutine that
// reads frames.
func (n *Node) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout, KeepAliveConfig: keepAlive()}

	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "dial peer")
	}

	c, err := n.handshake(ctx, tls.Client(raw, n.TLS))
	if err != nil {
		n.reportRefusal(address, err)
		_ = raw.Close()

		return nil, err
	}

	connects.Inc()
	n.tasks.Go(func() { n.readFrames(ctx, c) })

	return c, nil
}

// handshake performs the TLS handshake and exchanges hellos.
func (n *Node) handshake(ctx context.Context, t *tls.Conn) (*conn, error) {
	stop := context.AfterFunc(ctx, func() { _ = t.NetConn().Close() })
	defer stop()

	// Socket deadlines run on the system clock, not on Node.Clock.
	if err := t.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, err
	}

	// The AfterFunc closes the connection when ctx ends. With ctx itself, the
	// handshake would return the error of ctx instead of a refusal found just
	// before.
	if err := t.HandshakeContext(context.WithoutCancel(ctx)); err != nil {
		return nil, classifyHandshakeError(err)
	}

	f, err := n.helloFrame()
	if err != nil {
		return nil, merry.Prepend(err, "encode hello")
	}

	if _, err := t.Write(appendFrame(nil, f)); err != nil {
		return nil, classifyHandshakeError(err)
	}

	reply, err := readFrame(t, n.maxBody())
	if err != nil {
		return nil, classifyHandshakeError(err)
	}

	sender, err := n.checkHello(reply, t.ConnectionState())
	if err != nil {
		return nil, err
	}

	return n.trackConn(&conn{tls: t, sender: sender})
}

// trackConn clears the handshake deadline and records the connection, so that
// stop closes it.
func (n *Node) trackConn(c *conn) (*conn, error) {
	if err := c.tls.SetDeadline(time.Time{}); err != nil {
		return nil, err
	}

	n.mu.Lock()
	defer n.mu.Unlock()

	if n.stopped {
		return nil, ErrStopped
	}

	if n.conns == nil {
		n.conns = make(map[*conn]struct{})
	}

	n.conns[c] = struct{}{}

	return c, nil
}

// readFrames dispatches each received frame until the connection breaks or ctx
// ends.
func (n *Node) readFrames(ctx context.Context, c *conn) {
	defer n.removeConn(c)

	for ctx.Err() == nil {
		f, err := readFrame(c.tls, n.maxBody())
		if err != nil {
			countFrameError(err)

			return
		}

		receivedFrames.Inc()
		receivedBytes.Add(f.size())
		countFrameError(n.dispatch(ctx, c, f))
	}
}

func (n *Node) removeConn(c *conn) {
	c.close()
	n.mu.Lock()
	delete(n.conns, c)
	n.mu.Unlock()
	n.failCalls(c.sender.address)
}
