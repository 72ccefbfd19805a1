package answer

import (
	"testing"
	"time"
)

func TestEarliestReclaimCounts(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)

	tests := []struct {
		desc   string
		second time.Duration
		want   time.Duration
	}{
		{desc: "a shorter notice brings the move forward", second: 3 * time.Second, want: 3 * time.Second},
		{desc: "a longer one changes nothing", second: 20 * time.Second, want: 10 * time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			limits := DefaultLimits()
			r := &Relay{Request: "r", Deadline: start.Add(time.Hour), Budget: noBudget{}, Limits: limits}

			dispatch, ok := r.Start(start)[0].(Dispatch)
			if !ok {
				t.Fatal("first command: got another, want a dispatch")
			}

			r.Step(start, Started{Attempt: dispatch.Attempt, Server: "a"})
			r.Step(start, LeavingNotice{Server: "a", At: start.Add(10 * time.Second)})

			if commands := r.Step(start, LeavingNotice{Server: "a", At: start.Add(tt.second)}); len(commands) != 0 {
				t.Errorf("commands: got %v, want no second export", commands)
			}

			if got, want := r.Wake(), start.Add(tt.want-limits.MoveMargin); !got.Equal(want) {
				t.Errorf("move: got at %v, want at %v", got.Sub(start), want.Sub(start))
			}
		})
	}
}
