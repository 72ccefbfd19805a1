package upstream

import (
	"context"
	"errors"

	"golang.org/x/sys/unix"
)

// Ended tells whether the program of a server has ended: its machine answers, and nothing
// takes connections there. One that can't be reached has not shown that it ended. A
// connection that is made is kept for the next request.
func (p *Pool) Ended(ctx context.Context, s Server) bool {
	conn, err := p.dial(ctx, s, p.count(s.ID))
	if err != nil {
		return errors.Is(err, unix.ECONNREFUSED)
	}

	p.put(conn, defaultIdle)

	return false
}
