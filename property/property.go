// Package property runs the property tests of a package with the same flags on every machine,
// so that their results are reproducible. Flags on the command line take precedence.
//
// # Usage
//
//	func TestMain(m *testing.M) {
//		os.Exit(property.Main(m, 300))
//	}
//
// A longer run sets its own flags:
//
//	go test ./claim -rapid.checks=10000 -rapid.seed=0
package property

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	// Registers the flags that Main sets.
	_ "pgregory.net/rapid"
)

// exitInvalidFlag is the exit code for a flag that cannot be set.
const exitInvalidFlag = 2

// Flag is a command-line flag and its value.
type Flag struct {
	Name  string
	Value string
}

// Main runs the tests of a package and returns the exit code. checks is the number of test cases
// of each property; extra flags are set after the default ones.
func Main(m *testing.M, checks int, extra ...Flag) int {
	flag.Parse()

	setByUser := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { setByUser[f.Name] = true })

	flags := append([]Flag{
		{Name: "rapid.seed", Value: "1"},
		{Name: "rapid.checks", Value: strconv.Itoa(checks)},
		{Name: "rapid.nofailfile", Value: "true"},
	}, extra...)

	for _, f := range flags {
		if setByUser[f.Name] {
			continue
		}

		if err := flag.Set(f.Name, f.Value); err != nil {
			fmt.Fprintf(os.Stderr, "set flag %s: %v\n", f.Name, err)

			return exitInvalidFlag
		}
	}

	return m.Run()
}
