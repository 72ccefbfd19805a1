package admission

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes property tests repeatable unless the command line says otherwise.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "100", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}

	flag.Parse()
	os.Exit(m.Run())
}
