package main

import (
	"context"
	"encoding/json"
	"os"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/daemon"
	"monsoonlever/settings"
)

// serveCommand runs an entry instance of a deployment with a manifest.
type serveCommand struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings of this instance, JSON with comments."`
	Check    bool   `help:"Check the settings and stop."`
}

// Run serves until ctx ends.
func (c *serveCommand) Run(ctx context.Context, reloads reloadSignals, ready logReady) error {
	ready()

	s, err := settings.Load(c.Settings)
	if err != nil || c.Check {
		return err
	}

	go func() {
		for range reloads {
			klog.InfoS("SIGHUP ignored: settings are read only at startup")
		}
	}()

	d := &daemon.Daemon{Settings: s, Clock: clock.System{}, Started: printAddresses}

	return d.Run(ctx)
}

func printAddresses(a daemon.Addresses) {
	// The instance must serve even if standard output is closed.
	_ = json.NewEncoder(os.Stdout).Encode(a)
}
