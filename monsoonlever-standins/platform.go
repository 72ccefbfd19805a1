package main

import (
	"context"
	"time"

	"monsoonlever/clock"
	"monsoonlever/standin"
)

// platformCommand runs the platform on one port.
type platformCommand struct {
	listening

	LogMaxAge     time.Duration `help:"Age at which records of the log go; zero keeps them."`
	LogMaxRecords int           `help:"Records of each stream of the log; zero keeps all."`
	ListLag       time.Duration `help:"Age of the instance list."`
	ModelTime     time.Duration `help:"Time that the weight store takes for one model."`
}

// Run serves until ctx ends.
func (c *platformCommand) Run(ctx context.Context) error {
	p := standin.NewPlatform(clock.System{})
	p.Log.MaxAge = c.LogMaxAge
	p.Log.MaxRecords = c.LogMaxRecords
	p.List.Lag = c.ListLag
	p.Weights.ModelTime = c.ModelTime

	listener, err := c.open()
	if err != nil {
		return err
	}

	server := standin.NewServer(listener, p.Handler(), nil)
	if err := c.ready(server.Address(), ""); err != nil {
		return err
	}

	return server.Run(ctx)
}
