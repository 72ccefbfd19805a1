package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"monsoonlever/finding"
)

const entryExample = "../examples/kronvig.entry.jsonc"

// Limits and bounds may be fractions, since those of a part of a deployment are a share of the
// whole. Whole numbers are derived by rounding down.
func TestLoadEntryAcceptsFractionalLimits(t *testing.T) {
	text := `{
		"instance": "entry-1", "failureDomain": "a", "region": "r",
		"listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "peers": "127.0.0.1:3"},
		"store": "127.0.0.1:4",
		"limits": {"memoryMegabytes": 266.5, "fileDescriptors": 1366.7},
		"bounds": {"retryExtra": 35.833333333333336, "retryShare": 0.2, "drain": "666.6666666666666ms"},
	}`

	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}

	s, err := LoadEntry(path)
	if err != nil {
		t.Fatalf("got %v, want settings", err)
	}

	if got, want := s.Bounds.Retries(), 35; got != want {
		t.Errorf("retries: got %d, want %d, the bound rounded down", got, want)
	}

	if got, want := s.Limits.MemoryBytes(), int64(266.5*(1<<20)); got != want {
		t.Errorf("memory: got %d bytes, want %d", got, want)
	}
}

func TestEntryExampleHasNoFinding(t *testing.T) {
	s, err := LoadEntry(entryExample)
	if err != nil {
		t.Fatalf("example has findings:\n%v", err)
	}

	if got, want := s.Bounds.Revocation, 5*time.Second; got != want {
		t.Errorf("revocation: got %v, want %v", got, want)
	}

	if !s.HasDuty(OrderServers) || !s.HasDuty(ReportUsage) {
		t.Errorf("duties: got %v, want both", s.Duties)
	}
}

func TestParseEntryReportsEachFinding(t *testing.T) {
	data, err := os.ReadFile(entryExample)
	if err != nil {
		t.Fatal(err)
	}

	for _, tt := range []struct {
		desc, old, new, field, message string
	}{
		{"no instance", `"instance": "edge-ballerup-a-1",`, ``, "instance", "is missing"},
		{"no store", `"store": "127.0.0.1:8225",`, ``, "store", "is missing"},
		{"a store without a port", `"store": "127.0.0.1:8225"`, `"store": "127.0.0.1"`, "store", "IP number"},
		{"duties without the API", `"cloud": "127.0.0.1:8226",`, ``, "cloud", "is missing"},
		{"an address used twice", `"readiness": "127.0.0.1:8224"`, `"readiness": "127.0.0.1:8221"`, "listen.readiness", "must differ"},
		{"a stop timeout of zero", `"stop": "8s"`, `"stop": "0s"`, "bounds.stop", "above 0"},
		{"a negative share", `"retryShare": 0.2`, `"retryShare": -1`, "bounds.retryShare", "below 0"},
		{"a store retention of zero", `"cloud":`, `"storeKeeps": "0s", "cloud":`, "storeKeeps", "above 0"},
		{"zero processor cores", `"memoryMegabytes"`, `"processorCores": 0, "memoryMegabytes"`, "limits.processorCores", "above 0"},
		{"too few descriptors", `"fileDescriptors": 4100`, `"fileDescriptors": 8`, "limits.fileDescriptors", "at least"},
		{"an unknown field", `"region"`, `"regoin"`, "regoin", "unknown"},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			changed := strings.Replace(string(data), tt.old, tt.new, 1)
			if changed == string(data) {
				t.Fatalf("%q is not in the example", tt.old)
			}

			_, err := ParseEntry("entry.jsonc", []byte(changed))

			var findings *finding.Error
			if !errors.As(err, &findings) {
				t.Fatalf("got %v, want findings", err)
			}

			found := false
			for _, f := range findings.Items() {
				found = found || f.Field == tt.field && strings.Contains(f.Message, tt.message)
			}

			if !found {
				t.Errorf("findings: got %v, want one at %s with %q", err, tt.field, tt.message)
			}
		})
	}
}
