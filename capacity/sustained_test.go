package capacity

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The lowest need within a window is that of all needs added within it.
func TestHoldsSustainedNeedIsLowestInWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			s     sustained
			added []timedNeed
		)

		now, window := begin, time.Duration(rapid.IntRange(0, 4000).Draw(t, "window"))*time.Millisecond

		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			n := need{servers: float64(rapid.IntRange(0, 100).Draw(t, "servers")), bound: Reading}
			added = append(added, timedNeed{need: n, at: now})

			want := n.servers

			for _, earlier := range added {
				if now.Sub(earlier.at) <= window {
					want = min(want, earlier.servers)
				}
			}

			if got := s.add(now, n, window); got.servers != want {
				t.Fatalf("lowest need: got %v, want %v", got.servers, want)
			}
		}
	})
}
