//go:build review

// Standins runs the cases of the review: entry instances as separate processes, before stand-ins of
// the platform, of backend servers and of clients. All addresses are loopback addresses.
//
// # Usage
//
//	standins endless DIRECTORY     # case with a server whose response does not end its first line
//	standins reclaimed DIRECTORY   # case with a reclaimed server some of whose responses have no length
//	standins runner ID             # the process of one backend server
//
// A case writes record.txt into the directory. It exits with 1 if the rule was broken, 0 if it held
// and 2 if it could not run. TROUBLE=0 in the environment leaves out the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) == 3 && os.Args[1] == "runner" {
		if err := serveRunner(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}

		return
	}

	cases := map[string]func(context.Context, *deployment) (string, error){"endless": playEndless, "reclaimed": playReclaimed}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins endless|reclaimed DIRECTORY, or standins runner ID")
		os.Exit(exitNotRun)
	}

	os.Exit(playCase(os.Args[2], cases[os.Args[1]]))
}

// playCase plays a case and returns the exit code. All processes that it started have ended then.
func playCase(directory string, play func(context.Context, *deployment) (string, error)) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	record, err := newRecord(directory)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}
	defer record.close()

	d := &deployment{record: record, trouble: os.Getenv("TROUBLE") != "0"}
	defer d.stop()

	if err := d.start(ctx); err != nil {
		record.printf("not run: %v", err)

		return exitNotRun
	}

	breach, err := play(ctx, d)

	switch {
	case err != nil:
		record.printf("not run: %v", err)

		return exitNotRun
	case breach != "":
		record.printf("BROKEN: %s", breach)

		return exitBroken
	}

	record.printf("held")

	return exitHeld
}
