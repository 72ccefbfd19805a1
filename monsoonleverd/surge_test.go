package main

import (
	"testing"
	"time"

	"monsoonlever/platform/soak"
)

// surgeLimits are those of an account with a burst of eight seconds of its rate.
var surgeLimits = soak.Limits{TokensPerSecond: 20_000, Burst: 160_000, Slack: 140_000, Window: 8 * time.Second, Overshoot: 0.1}

// Guards against an account that passes its limit when all processes are killed in an outage of the
// store: it was idle before, spends its whole burst while no record can be written, and gets most of it
// again from the processes that start.
func TestSurgeInOutageAndLossOfAllStaysWithinLimit(t *testing.T) {
	t.Parallel()

	s := &soak.Surge{
		Program: program(t), Dir: t.TempDir(), Instances: 9, Before: 100, During: 120_000, Quiet: 4 * time.Second, Burst: 11 * time.Second,
		Outage: 4500 * time.Millisecond, KillAfter: 3 * time.Second, Limits: surgeLimits,
	}

	report, err := s.Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	if report.Ran == 0 || report.Refused == 0 {
		t.Errorf("requests: got %d that ran and %d refused, want some of each", report.Ran, report.Refused)
	}

	if got, most := report.Largest, 1.0; got > most {
		t.Errorf("largest share of the limit in a window: got %.3f, want at most %.3f", got, most)
	}
}
