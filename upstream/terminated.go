package upstream

import (
	"bufio"
	"context"
	"errors"
	"net/http"

	"github.com/ansel1/merry/v2"
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

// Ask sends a request on a connection of its own, which is not counted and is closed afterwards, and
// returns the status and header of the response, whichever request it names. The pool's connections may
// belong to an earlier process at the address.
func (p *Pool) Ask(ctx context.Context, s Server, r *Request) (int, http.Header, error) {
	message, err := r.encode()
	if err != nil {
		return 0, nil, err
	}

	conn, err := p.connect(ctx, s.Address)
	if err != nil {
		return 0, nil, err
	}
	defer conn.Close() //nolint:errcheck // nothing more is read from it

	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()

	if _, err := conn.Write(message); err != nil {
		return 0, nil, err
	}

	from := &input{conn: conn}
	from.beginHeader()

	response, err := http.ReadResponse(bufio.NewReaderSize(from, readBuffer), &http.Request{Method: r.Method})
	if err != nil {
		return 0, nil, merry.Prepend(ErrGarbled, "read response", merry.WithCause(err))
	}

	_ = response.Body.Close() // its connection is closed

	return response.StatusCode, response.Header, nil
}
