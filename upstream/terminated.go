package upstream

import (
	"context"
	"errors"

	"golang.org/x/sys/unix"
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
