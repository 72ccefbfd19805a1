package membership

import (
	"flag"
	"os"
	"testing"

	// Registers the flags that TestMain sets.
	_ "pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks, unless the command line
// gives others.
func TestMain(m *testing.M) {
	flag.Parse()

	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}

	os.Exit(m.Run())
}
