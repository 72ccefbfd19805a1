//go:build review

package case6

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The bench and the site, as seen from the repository's root.
const (
	bench = "../given/kit/more/system/bin/fleetbench"
	site  = "../given/kit/more/system/sites/kronvig-lever.toml"
	seed  = "8"
)

// Plays the day of the case, which shows keys that are used for longer than the bound after they were taken
// away.
func TestAbuseReviewCase6(t *testing.T) {
	const root = "../.."
	if _, err := os.Stat(filepath.Join(root, bench)); err != nil {
		t.Skipf("bench: got %v, want it beside the repository", err)
	}

	file := filepath.Join(t.TempDir(), "report.json")
	command := exec.CommandContext(t.Context(), bench, "run", site, "review/6/day.toml", "--seed", seed, "--report", file)
	command.Dir = root

	if output, err := command.CombinedOutput(); err != nil {
		t.Logf("bench: %v: %s", err, output)
	}

	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}

	var report struct {
		Breaks map[string]int `json:"breaks"`
	}

	if err := json.Unmarshal(data, &report); err != nil {
		t.Fatal(err)
	}

	if got, want := report.Breaks["CONFIG"], 0; got != want {
		t.Errorf("requests that break CONFIG: got %d, want %d", got, want)
	}
}
