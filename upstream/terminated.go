package upstream

import (
	"context"
	"errors"

	"golang.org/x/sys/unix"
)

// Terminated tells whether the program of a server has ended: its machine answers, and nothing
// takes connections there. One that can't be reached has not shown that it ended. Nothing
// is kept of the connection: the server may be forgotten by now.
func (p *Pool) Terminated(ctx context.Context, s Server) bool {
	conn, err := p.connect(ctx, s.Address)
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}

	_ = conn.Close() // nothing was sent on it

	return false
}
