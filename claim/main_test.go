package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks, unless the command line
// sets them.
func TestMain(m *testing.M) {
	flag.Parse()

	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     "500",
		"rapid.nofailfile": "true",
	} {
		if given[name] {
			continue
		}

		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}

	os.Exit(m.Run())
}
