package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"k8s.io/klog/v2"
)

// reloadSignals brings each SIGHUP, by which operators ask for the settings to be read again.
type reloadSignals <-chan os.Signal

// logReady is called once the flags of the log are set: they must not be set while a line is written.
type logReady func()

// handleSignals takes the signals in that operators send, and returns a context that the
// first SIGTERM, SIGINT or SIGQUIT ends. None is given back until the process exits: in any
// phase, the default action of a signal that nobody expects would end the process and cut
// the requests that it runs. So would SIGPIPE where standard output loses its reader. A stop
// takes effect, and is logged, once the log is ready.
func handleSignals() (context.Context, reloadSignals, logReady) {
	signal.Ignore(syscall.SIGPIPE)

	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)

	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)

	ctx, cancel := context.WithCancel(context.Background())
	ready := make(chan struct{})

	go func() {
		<-ready

		got := <-stops
		klog.InfoS("asked to stop", "signal", got.String())
		cancel()

		for got := range stops {
			klog.InfoS("asked to stop again, it goes on stopping", "signal", got.String())
		}
	}()

	return ctx, reloads, sync.OnceFunc(func() { close(ready) })
}
