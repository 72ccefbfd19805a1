package placement_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks unless the command line does.
func TestMain(m *testing.M) {
	flag.Parse()

	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "50", "rapid.nofailfile": "true"}

	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })

	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}

	os.Exit(m.Run())
}
