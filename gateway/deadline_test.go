package gateway

import (
	"net/http"
	"testing"
	"time"

	"monsoonlever/refusal"
)

func TestDeadline(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

	tests := []struct {
		desc     string
		timeout  string
		deadline string
		want     time.Time
		refused  refusal.Code
	}{
		{desc: "neither header", want: now.Add(time.Minute)},
		{desc: "timeout", timeout: "2s", want: now.Add(2 * time.Second)},
		{desc: "deadline later than the fallback", deadline: "2026-03-01T12:05:00Z", want: now.Add(5 * time.Minute)},
		{desc: "the earlier of both", timeout: "10m", deadline: "2026-03-01T12:05:00Z", want: now.Add(5 * time.Minute)},
		{desc: "beyond the maximum", timeout: "25h", refused: refusal.BadRequest},
		{desc: "invalid duration", timeout: "soon", refused: refusal.BadRequest},
		{desc: "negative duration", timeout: "-1s", refused: refusal.BadRequest},
		{desc: "invalid time", deadline: "noon", refused: refusal.BadRequest},
		{desc: "already passed", deadline: "2026-03-01T11:59:59Z", refused: refusal.DeadlinePassed},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			h := http.Header{}
			h.Set(HeaderTimeout, tt.timeout)
			h.Set(HeaderDeadline, tt.deadline)

			got, r := requestDeadline(h, now, time.Minute)
			if tt.refused != "" {
				if r == nil || r.Code() != tt.refused || r.Run() != refusal.NotRun {
					t.Fatalf("refusal: got %v, want %s and notRun", r, tt.refused)
				}

				return
			}

			if r != nil || !got.Equal(tt.want) {
				t.Errorf("deadline: got %v (%v), want %v", got, r, tt.want)
			}
		})
	}
}
