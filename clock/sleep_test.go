package clock

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestSleepReturnsOnTimeoutOrCancel(t *testing.T) {
	tests := []struct {
		desc    string
		timeout time.Duration
		want    time.Duration
	}{
		{desc: "duration passes", timeout: time.Hour, want: time.Minute},
		{desc: "context is done", timeout: time.Second, want: time.Second},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), tt.timeout)
				defer cancel()

				began := time.Now()
				Sleep(ctx, System{}, time.Minute)

				if got := time.Since(began); got != tt.want {
					t.Errorf("slept: got %v, want %v", got, tt.want)
				}
			})
		})
	}
}
