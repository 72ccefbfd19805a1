package clock

import (
	"testing"
	"time"
)

func TestManualWakesWaitersWhenDue(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

	tests := []struct {
		desc    string
		wait    time.Duration
		advance time.Duration
		want    bool
	}{
		{desc: "zero wait fires immediately", wait: 0, advance: 0, want: true},
		{desc: "before the due time", wait: time.Second, advance: time.Second - 1, want: false},
		{desc: "at the due time", wait: time.Second, advance: time.Second, want: true},
		{desc: "after the due time", wait: time.Second, advance: time.Minute, want: true},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			m := NewManual(start)
			ch := m.After(tt.wait)
			m.Advance(tt.advance)

			got := false
			select {
			case <-ch:
				got = true
			default:
			}

			if got != tt.want {
				t.Errorf("fired: got %v, want %v", got, tt.want)
			}

			if got, want := m.Now(), start.Add(tt.advance); !got.Equal(want) {
				t.Errorf("now: got %v, want %v", got, want)
			}
		})
	}
}
