package main

import (
	"context"
	"os"
	"runtime/debug"

	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/entry"
	"monsoonlever/logpipe"
	"monsoonlever/settings"
)

// entryCommand runs an entry instance on the users' platform.
type entryCommand struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings of this instance, JSON with comments."`
	Check    bool   `help:"Check the settings and stop."`
}

// memoryLimitFraction is the soft memory limit of the Go runtime as a fraction of the configured
// memory. The rest is for memory that the runtime does not account for.
const memoryLimitFraction = 0.7

// Run serves until ctx ends.
func (c *entryCommand) Run(ctx context.Context, reloads reloadSignals, ready logReady) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil || c.Check {
		return err
	}

	debug.SetMemoryLimit(int64(float64(s.Limits.MemoryBytes()) * memoryLimitFraction))

	clk := clock.NewSteady()
	pipe := &logpipe.Pipe{Out: os.Stdout, Clock: clk}
	stopLog := redirectLog(pipe)
	defer stopLog()

	ready()

	e := &entry.Entry{Settings: s, Clock: clk, Reload: c.watchReloads(ctx, reloads), LogHasRoom: pipe.HasSpareCapacity}

	return e.Run(ctx)
}

// redirectLog redirects log lines to a pipe, so that logging never blocks. The returned function
// stops the pipe after all queued lines are written.
func redirectLog(pipe *logpipe.Pipe) func() {
	setLogFlags(map[string]string{"logtostderr": "false", "one_output": "true", "stderrthreshold": "FATAL"})
	klog.SetOutput(pipe)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})

	go func() {
		defer close(done)
		pipe.Run(ctx)
	}()

	return func() {
		klog.Flush()
		cancel()
		<-done
	}
}

// watchReloads reads the settings again on each SIGHUP until ctx ends, and sends them to the returned
// channel. Settings that cannot be read or have findings are logged and ignored.
func (c *entryCommand) watchReloads(ctx context.Context, reloads reloadSignals) <-chan settings.Entry {
	reloaded := make(chan settings.Entry)

	go func() {
		for range reloads {
			if ctx.Err() != nil {
				klog.InfoS("settings not reloaded: instance is stopping")

				continue
			}

			s, err := settings.LoadEntry(c.Settings)
			if err != nil {
				klog.ErrorS(err, "settings not reloaded")

				continue
			}

			select {
			case reloaded <- s:
			case <-ctx.Done():
			}
		}
	}()

	return reloaded
}
