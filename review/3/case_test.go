//go:build review

package review

import (
	"os/exec"
	"testing"
)

// Runs case 3 of the review, which fails while the fault is there.
func TestReviewCase3(t *testing.T) {
	output, err := exec.Command("sh", "run.sh").CombinedOutput() //nolint:noctx // the script bounds its time
	if err != nil {
		t.Fatalf("case 3: %v\n%s", err, output)
	}
}
