package main

import (
	"context"
	"time"

	"monsoonlever/clock"
	"monsoonlever/standin"
)

// plainCommand runs a plain service.
type plainCommand struct {
	listening
	membership

	ServiceTime time.Duration `help:"Time that a call runs." default:"2ms"`
}

// Run serves until ctx ends or the service is killed.
// Run serves a plain service in each failure domain. They share a tally, so that
// what a server ran is known after its end.
func (c *plainCommand) Run(ctx context.Context) error {
	tally := &standin.Tally{}

	return c.serveAll(ctx, c.listening, func() backendServer {
		p := standin.NewPlainService(clock.System{})
		p.ServiceTime = c.ServiceTime
		p.Tally = tally
		p.Slots = c.Slots
		p.Queue = c.Queue
		p.LoadLag = c.LoadLag

		return backendServer{handler: p.Handler(), faults: p.Faults}
	})
}
