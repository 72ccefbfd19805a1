// Monsoonleverd is an entry instance of monsoonlever.
//
// # Usage
//
//	monsoonleverd --settings /etc/monsoonlever/daemon.jsonc
//
// It prints one line of JSON with its addresses once it listens, and stops
// gracefully on SIGTERM. Exit codes: 0 stopped, 1 failed, 2 bad settings.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"monsoonlever/clock"
	"monsoonlever/daemon"
	"monsoonlever/finding"
	"monsoonlever/settings"
)

const (
	exitFailed      = 1
	exitBadSettings = 2
)

// arguments is the command line.
type arguments struct {
	Settings string `required:"" type:"path" placeholder:"FILE" help:"Settings of this instance, JSON with comments."`
	Check    bool   `help:"Check the settings and stop."`
	Verbose  int    `short:"v" default:"0" help:"Level of log lines; 0 logs changes of state only."`
}

func main() {
	var line arguments

	kong.Parse(&line, kong.Description("Runs an entry instance of monsoonlever until SIGTERM."))
	os.Exit(run(line))
}

func run(line arguments) int {
	setLogLevel(line.Verbose)
	defer klog.Flush()

	s, err := settings.Load(line.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitCode(err)
	}

	if line.Check {
		return 0
	}

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	d := &daemon.Daemon{Settings: s, Clock: clock.System{}, Started: printAddresses}
	if err := d.Run(ctx); err != nil {
		klog.ErrorS(err, "instance failed", "instance", s.Instance)

		return exitFailed
	}

	return 0
}

func exitCode(err error) int {
	var findings *finding.Error
	if errors.As(err, &findings) {
		return exitBadSettings
	}

	return exitFailed
}

func printAddresses(a daemon.Addresses) {
	// Standard output that is closed must not keep the instance from serving.
	_ = json.NewEncoder(os.Stdout).Encode(a)
}

func setLogLevel(level int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	// The value is a number, so it is always taken.
	_ = flags.Set("v", fmt.Sprint(level))
}
