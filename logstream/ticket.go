package logstream

import (
	"context"

	"github.com/ansel1/merry/v2"

	"monsoonlever/provider"
)

// Ticket is the result of one append, known later.
type Ticket struct {
	done   chan struct{}
	offset provider.Offset
	err    error
}

func newTicket() *Ticket {
	return &Ticket{done: make(chan struct{})}
}

func (t *Ticket) resolve(offset provider.Offset, err error) {
	t.offset = offset
	t.err = err
	close(t.done)
}

// Done is closed once the result is final.
func (t *Ticket) Done() <-chan struct{} { return t.done }

// Result returns the offset at which the entry is in effect, or an error that
// wraps ErrRefused, ErrDead or ErrUnresolved. Call it after Done is closed.
func (t *Ticket) Result() (provider.Offset, error) { return t.offset, t.err }

// Wait waits for the result. The error of ctx leaves the result unknown.
func (t *Ticket) Wait(ctx context.Context) (provider.Offset, error) {
	select {
	case <-t.done:
		return t.Result()
	case <-ctx.Done():
		return 0, merry.Prepend(ctx.Err(), "wait for journal append")
	}
}
