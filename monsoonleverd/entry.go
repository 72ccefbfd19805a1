package main

import (
	"context"
	"runtime/debug"

	"monsoonlever/clock"
	"monsoonlever/entry"
	"monsoonlever/settings"
)

// entryCommand runs an entry instance on the users' platform.
type entryCommand struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings of this instance, JSON with comments."`
	Check    bool   `help:"Check the settings and stop."`
}

// memoryShare is the part of the machine's memory at which collection of garbage
// becomes eager; the rest is for what the runtime does not count.
const memoryShare = 0.7

// Run serves until ctx ends.
func (c *entryCommand) Run(ctx context.Context) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil || c.Check {
		return err
	}

	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryMegabytes<<20) * memoryShare))

	e := &entry.Entry{Settings: s, Clock: clock.NewSteady()}

	return e.Run(ctx)
}
