//go:build review

package review

import (
	"os/exec"
	"testing"
)

// Runs case 2 of the review, which fails while the fault is there.
func TestReviewCase2(t *testing.T) {
	output, err := exec.Command("sh", "run.sh").CombinedOutput() //nolint:noctx // the script bounds its time
	if err != nil {
		t.Fatalf("case 2: %v\n%s", err, output)
	}
}
