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
// Run serves a plain service in each failure domain.
func (c *plainCommand) Run(ctx context.Context) error {
	return c.serveAll(ctx, c.listening, func() backendServer {
		p := standin.NewPlainService(clock.System{})
		p.ServiceTime = c.ServiceTime
		p.Slots = c.Slots
		p.Queue = c.Queue
		p.LoadLag = c.LoadLag

		return backendServer{handler: p.Handler(), faults: p.Faults}
	})
}
