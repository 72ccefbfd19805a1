package routing

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes runs of the property tests repeatable unless told otherwise.
func TestMain(m *testing.M) {
	flag.Parse()

	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	for name, value := range map[string]string{
		"rapid.seed":       "1",
		"rapid.checks":     "200",
		"rapid.nofailfile": "true",
	} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}

	os.Exit(m.Run())
}
