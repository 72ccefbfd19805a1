package publication

import (
	"flag"
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// TestMain fixes the seed and the number of property checks unless the command
// line gives others.
func TestMain(m *testing.M) {
	flag.Parse()

	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	defaults := []struct{ name, value string }{
		{"rapid.seed", "1"},
		{"rapid.checks", "300"},
		{"rapid.steps", "60"},
		{"rapid.nofailfile", "true"},
	}

	for _, d := range defaults {
		if given[d.name] {
			continue
		}

		if err := flag.Set(d.name, d.value); err != nil {
			panic(err)
		}
	}

	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
