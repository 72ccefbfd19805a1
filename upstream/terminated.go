package upstream

import (
	"bufio"
	"context"
	"errors"

	"golang.org/x/sys/unix"

	"monsoonlever/clock"
)

// Terminated reports whether the process of a server has terminated: its machine refuses
// a connection. A server that can't be reached may still run. The connection is closed and
// not added to the pool, since the server may have been removed meanwhile.
func (p *Pool) Terminated(ctx context.Context, s Server) bool {
	conn, err := p.connect(ctx, s.Address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}

	_ = conn.Close() // nothing was sent on it

	return false
}

// Accepts reports whether a server accepts a connection and keeps it open for a moment: something on the
// path may accept connections and reset them. The connection is closed and not added to the pool.
func (p *Pool) Accepts(ctx context.Context, s Server) bool {
	dialled, err := p.connect(ctx, s.Address)
	if err != nil {
		return false
	}
	defer dialled.Close() //nolint:errcheck // nothing was sent on it

	clock.Sleep(ctx, p.Clock, settleTime)

	conn := &connection{Conn: dialled, reader: bufio.NewReader(dialled)}

	return conn.alive()
}
