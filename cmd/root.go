// Package cmd is the operators' command line, a file for each command.
//
// Every command prints a table, or JSON with --output json. The exit codes are
// the same for all of them; see the constants Exit….
//
// # Usage
//
//	os.Exit(cmd.Main(os.Args[1:], os.Stdout, os.Stderr))
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"monsoonlever/finding"
	"monsoonlever/publication"
)

// The exit codes of every command.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means that the command failed; its error says why.
	ExitFailed = 1
	// ExitFindings means that a file has findings, or the command line a mistake.
	ExitFindings = 2
	// ExitConflict means that another operator's manifest is in force.
	ExitConflict = 3
	// ExitUnresolved means that it is not known yet whether a manifest is in force.
	ExitUnresolved = 4
	// ExitBehind means that a manifest is in force on the log, but not yet on
	// every instance.
	ExitBehind = 5
	// ExitBroken means that a load run saw a promise broken.
	ExitBroken = 6
)

// commandLine holds every command and the flags they share.
type commandLine struct {
	Output string `enum:"table,json" default:"table" help:"Print a table or JSON (${enum})."`

	Validate validateCommand `cmd:"" help:"Check a manifest and report every finding with its line."`
	Current  currentCommand  `cmd:"" help:"Print the manifest in force on the log and its version."`
	Publish  publishCommand  `cmd:"" help:"Put a manifest in force."`
	Status   statusCommand   `cmd:"" help:"Show instances, what is in force where, and backend servers."`
	Report   reportCommand   `cmd:"" help:"Report on service-level burn, from instances or from load runs."`
	Load     loadCommand     `cmd:"" help:"Send the load of a mix and check every answer and promise."`
	Keys     keysCommand     `cmd:"" help:"Make the keys with which entry instances know each other."`
	Trial    trialCommand    `cmd:"" help:"Write settings and keys of a deployment on this machine."`
}

// console is where a command prints.
type console struct {
	out  io.Writer
	err  io.Writer
	json bool
}

// Main runs one command and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var line commandLine

	code := -1
	parser, err := kong.New(&line,
		kong.Name("monsoonlever"),
		kong.Description("Steer and watch a monsoonlever deployment. Operators steer by publishing a manifest only."),
		kong.Writers(out, errOut),
		kong.Exit(func(c int) { code = c }),
		kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, err)

		return ExitFailed
	}

	command, err := parser.Parse(args)
	if code >= 0 {
		return code
	}

	if err != nil {
		_, _ = fmt.Fprintf(errOut, "monsoonlever: %v\n", err)

		return ExitFindings
	}

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()

	command.BindTo(ctx, (*context.Context)(nil))
	command.Bind(&console{out: out, err: errOut, json: line.Output == "json"})

	if err := command.Run(); err != nil {
		_, _ = fmt.Fprintf(errOut, "monsoonlever: %v\n", err)

		return exitCode(err)
	}

	return ExitOK
}

func exitCode(err error) int {
	var (
		findings   *finding.Error
		conflict   *publication.Conflict
		unresolved *publication.Unresolved
	)

	switch {
	case errors.As(err, &findings):
		return ExitFindings
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unresolved):
		return ExitUnresolved
	case errors.Is(err, errBehind):
		return ExitBehind
	case errors.Is(err, errBroken):
		return ExitBroken
	default:
		return ExitFailed
	}
}
