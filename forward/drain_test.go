package forward

import (
	"testing"
	"time"
)

// Guards against requests that are taken in a stop although they can't end in it, and against
// rejections of those that can.
func TestDrainRejectsWhatOutlastsIt(t *testing.T) {
	const stop = 8 * time.Second

	begun := time.Unix(1000, 0)

	tests := []struct {
		desc string
		// durations are those of earlier requests, and at is when the next one arrives after the begin.
		durations []time.Duration
		at        time.Duration
		want      bool
	}{
		{desc: "nothing is known", at: 7 * time.Second, want: true},
		{desc: "after the end", at: stop, want: false},
		{desc: "short", durations: []time.Duration{time.Second, time.Second}, at: 6 * time.Second, want: true},
		{desc: "long", durations: []time.Duration{3 * time.Second, 3 * time.Second}, at: 6 * time.Second, want: false},
		{desc: "may take long", durations: []time.Duration{time.Second, 9 * time.Second, time.Second}, at: 6 * time.Second, want: false},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			d := NewDrain()

			for _, took := range tt.durations {
				d.recordDuration("route", took)
			}

			if !d.allows(begun.Add(tt.at), "route") {
				t.Error("before the stop: got a rejection, want none")
			}

			d.Begin(begun.Add(stop))

			if got := d.allows(begun.Add(tt.at), "route"); got != tt.want {
				t.Errorf("allowed: got %v, want %v", got, tt.want)
			}
		})
	}
}
