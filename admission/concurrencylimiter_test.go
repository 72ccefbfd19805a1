package admission

import (
	"testing"
	"time"
)

func TestConcurrencyLimitFollowsLatency(t *testing.T) {
	const target = 100 * time.Millisecond

	tests := []struct {
		desc    string
		latency time.Duration
		refused bool
		cap     int
		low     float64
		high    float64
	}{
		{desc: "grows while targets are met", latency: 50 * time.Millisecond, low: 25, high: 64},
		{desc: "shrinks while targets are missed", latency: 200 * time.Millisecond, low: 2, high: 5},
		{desc: "shrinks while servers are overloaded", latency: 50 * time.Millisecond, refused: true, low: 2, high: 5},
		{desc: "stays within reported capacity", latency: 50 * time.Millisecond, cap: 8, low: 8, high: 8},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			l := &concurrencyLimiter{}
			l.configure(ServiceConfig{MinConcurrent: 2, MaxConcurrent: 64, StartConcurrent: 16})

			if tt.cap > 0 {
				l.setCapacity(tt.cap)
			}

			now := start

			for range 40 {
				n := 0
				for l.acquire() {
					n++
				}

				now = now.Add(tt.latency)
				for range n {
					l.release(now, target, Outcome{Latency: tt.latency, Duration: tt.latency, Overloaded: tt.refused})
				}
			}

			if got := l.current(); got < tt.low || got > tt.high {
				t.Errorf("limit: got %.1f, want %.0f to %.0f", got, tt.low, tt.high)
			}
		})
	}
}
