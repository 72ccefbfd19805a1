//go:build review

package case7

import (
	"os/exec"
	"testing"
)

// Runs the script of the case, which shows requests that are handled by an old version of the configuration. It needs
// what the deploy file and review/build-2.sh build.
func TestAbuseReviewCase7(t *testing.T) {
	command := exec.CommandContext(t.Context(), "./run.sh")

	output, err := command.CombinedOutput()
	if command.ProcessState == nil || command.ProcessState.ExitCode() == 2 {
		t.Skipf("script: got %v, want it to run: %s", err, output)
	}

	if got, want := command.ProcessState.ExitCode(), 0; got != want {
		t.Errorf("exit code: got %d, want %d; see record.txt", got, want)
	}
}
