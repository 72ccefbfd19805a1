// Monsoonleverd is an entry instance of monsoonlever.
//
// # Usage
//
//	monsoonleverd --settings /etc/monsoonlever/daemon.jsonc
//	monsoonleverd entry --settings /etc/monsoonlever/entry.jsonc
//
// The first form, which is short for "monsoonleverd serve", runs an instance of a
// deployment with a manifest. It prints one line of JSON with its addresses when it
// listens. The second form runs an instance on the users' platform, which reloads its
// settings on SIGHUP. Both stop gracefully on SIGTERM, SIGINT and SIGQUIT.
//
// Exit codes: 0 stopped, 1 failed, 2 invalid settings.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"

	"github.com/alecthomas/kong"
	"k8s.io/klog/v2"

	"monsoonlever/finding"
)

const (
	exitFailed      = 1
	exitBadSettings = 2
)

// commandLine is the command line as kong parses it.
type commandLine struct {
	Serve serveCommand `cmd:"" default:"withargs" help:"Run an entry instance of a deployment with a manifest."`
	Entry entryCommand `cmd:"" help:"Run an entry instance on the users' platform."`

	Verbose int `short:"v" default:"0" help:"Level of log lines; 0 logs changes of state only."`
}

func main() {
	ctx, reloads, ready := handleSignals()

	var args commandLine

	parsed := kong.Parse(&args, kong.Description("Runs an entry instance of monsoonlever until SIGTERM."))
	setLogFlags(map[string]string{"v": strconv.Itoa(args.Verbose)})

	parsed.BindTo(ctx, (*context.Context)(nil))
	parsed.Bind(reloads, ready)
	code := reportError(parsed.Run())

	klog.Flush()
	os.Exit(code)
}

// reportError reports an error on standard error and returns the exit code for it.
func reportError(err error) int {
	if err == nil {
		return 0
	}

	var findings *finding.Error
	if errors.As(err, &findings) {
		fmt.Fprintln(os.Stderr, err)

		return exitBadSettings
	}

	klog.ErrorS(err, "instance failed")
	klog.Flush()

	return exitFailed
}

// setLogFlags sets flags of klog. It panics on an error, since all names and values come from
// this program.
func setLogFlags(values map[string]string) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)

	for name, value := range values {
		if err := flags.Set(name, value); err != nil {
			panic(err)
		}
	}
}
