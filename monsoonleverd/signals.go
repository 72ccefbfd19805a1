package main

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"k8s.io/klog/v2"
)

// reloadSignals delivers SIGHUP signals, with which operators request a reload of the settings.
type reloadSignals <-chan os.Signal

// logReady is called after the log flags are set. They must not be set while a log line is written.
type logReady func()

// handleSignals registers the signal handlers and returns a context that the first SIGTERM, SIGINT
// or SIGQUIT cancels. The handlers stay registered until the process exits: in any phase, the
// default action of a signal without a handler would kill the process and cut its requests. SIGPIPE
// is ignored for the same reason: it is raised if the reader of standard output terminates. A stop
// signal is logged and takes effect only after the log is ready.
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
		klog.InfoS("received stop signal", "signal", got.String())
		cancel()

		for got := range stops {
			klog.InfoS("ignored repeated stop signal", "signal", got.String())
		}
	}()

	return ctx, reloads, sync.OnceFunc(func() { close(ready) })
}
