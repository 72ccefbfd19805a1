package peer

import (
	"crypto/tls"
	"sync/atomic"
	"time"
)

// writeTimeout bounds one write, so that a remote that does not read cannot
// block the link.
const writeTimeout = 5 * time.Second

// conn is an open connection on which both sides have sent their hello.
type conn struct {
	tls    *tls.Conn
	sender Sender
	broken atomic.Bool
}

// write sends encoded frames in one write. Only the goroutine of the link that
// the connection is attached to calls it.
func (c *conn) write(b []byte) error {
	// Socket deadlines run on the system clock, not on Node.Clock.
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
