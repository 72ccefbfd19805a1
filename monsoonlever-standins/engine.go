package main

import (
	"context"
	"net/http"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
	"monsoonlever/provider"
	"monsoonlever/standin"
)

// engineCommand runs a model engine.
type engineCommand struct {
	listening
	membership

	Model           string        `help:"Model that is loaded at the start." required:""`
	Version         string        `help:"Version of the model." default:"1"`
	ChecksFence     bool          `help:"Refuse orders with an old fencing number."`
	FullRate        int           `help:"Attempts that run before they slow each other down." default:"16"`
	TokenInterval   time.Duration `help:"Time for a token at the full rate." default:"10ms"`
	PrefillPerToken time.Duration `help:"Time for a token that is not cached." default:"200us"`
	KVPerToken      time.Duration `name:"kv-per-token" help:"Time to import the KV cache of a token." default:"20us"`
	CacheBlocks     int           `help:"Blocks of the cache of prompt prefixes." default:"4096"`
	CacheEventDelay time.Duration `help:"Delay of cache events."`
	CacheEventGap   uint64        `help:"Lose every so-manieth cache event; zero loses none."`
}

// Run serves until ctx ends or the engine is killed.
// Run serves an engine in each failure domain. They share a ledger, so that work
// which one lost and another did again counts as redone.
func (c *engineCommand) Run(ctx context.Context) error {
	ledger := standin.NewWorkLedger()

	return c.serveAll(ctx, c.listening, func() backendServer {
		e := c.engine()
		e.Ledger = ledger

		return backendServer{handler: e.Handler(), faults: e.Faults}
	})
}

func (c *engineCommand) engine() *standin.Engine {
	e := standin.NewEngine(clock.System{})
	e.Model = fleet.Model(c.Model)
	e.Version = fleet.ModelVersion(c.Version)
	e.ChecksFence = c.ChecksFence
	e.Slots = c.Slots
	e.Queue = c.Queue
	e.FullRate = c.FullRate
	e.TokenInterval = c.TokenInterval
	e.PrefillPerToken = c.PrefillPerToken
	e.KVPerToken = c.KVPerToken
	e.CacheBlocks = c.CacheBlocks
	e.CacheEventDelay = c.CacheEventDelay
	e.CacheEventGap = c.CacheEventGap
	e.LoadLag = c.LoadLag

	if c.Platform != "" {
		e.Weights = provider.NewHTTPWeightStore(c.Platform, &http.Client{})
	}

	return e
}
