package peer

import (
	"crypto/tls"
	"sync/atomic"
	"time"
)

// writeTimeout bounds one write to a remote that does not read.
const writeTimeout = 5 * time.Second

// conn is one connection after both hellos.
type conn struct {
	tls    *tls.Conn
	sender Sender
	broken atomic.Bool
}

// write sends encoded frames in one piece. Only the link's goroutine writes.
func (c *conn) write(b []byte) error {
	// The socket's deadline is kept by the kernel against its own clock.
	if err := c.tls.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}

	if _, err := c.tls.Write(b); err != nil {
		return err
	}

	sentBytes.Add(len(b))

	return nil
}

func (c *conn) close() {
	c.broken.Store(true)
	_ = c.tls.NetConn().Close()
}
