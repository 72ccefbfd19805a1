package evacuation

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks of the property tests
// unless the command line gives them.
func TestMain(m *testing.M) {
	flag.Parse()

	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	defaults := map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     "300",
		"rapid.nofailfile": "true",
	}

	for name, value := range defaults {
		if given[name] {
			continue
		}

		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}

	os.Exit(m.Run())
}
