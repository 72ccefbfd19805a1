package quota

import (
	"testing"
	"time"
)

// Guards against a steady stream of small amounts that counts as one amount of this moment, and so never
// leaves the window nor is in any record.
func TestSteadyIncrementsKeepTheirTimes(t *testing.T) {
	var h history

	const step = time.Millisecond

	now := start
	for range 1000 {
		now = now.Add(step)
		h.add(now, 1)
	}

	got, want, slack := h.since(now.Add(-500*step)), 500.0, float64(mergeInterval/step)
	if got < want || got > want+slack {
		t.Errorf("added in the last half: got %.0f, want %.0f to %.0f", got, want, want+slack)
	}
}
