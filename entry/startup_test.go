package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
)

// newStartupServingAfter runs the startup of an instance that can serve after some time.
func newStartupServingAfter(ctx context.Context, delay time.Duration) *startup {
	s := newStartup(clock.System{})

	var serving atomic.Bool

	time.AfterFunc(delay, func() { serving.Store(true) })

	go s.run(ctx, serving.Load)

	return s
}

func TestRequestsWaitDuringStartup(t *testing.T) {
	tests := map[string]struct {
		serving, timeout time.Duration
		least, most      time.Duration
	}{
		"until the instance can serve":    {300 * time.Millisecond, 15 * time.Second, 300 * time.Millisecond, 310 * time.Millisecond},
		"a caller without a timeout":      {300 * time.Millisecond, 0, 300 * time.Millisecond, 310 * time.Millisecond},
		"half of the caller's timeout":    {time.Second, 600 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond},
		"at most the start timeout":       {time.Hour, time.Minute, startTimeout, startTimeout + 10*time.Millisecond},
		"an instance that serves already": {0, 15 * time.Second, 0, 10 * time.Millisecond},
	}

	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				begun := time.Now()
				s := newStartupServingAfter(t.Context(), tt.serving)
				s.wait(t.Context(), tt.timeout)

				if got := time.Since(begun); got < tt.least || got > tt.most {
					t.Errorf("waited: got %v, want %v to %v", got, tt.least, tt.most)
				}

				<-s.done
			})
		})
	}
}

func TestNoWaitAfterStartupTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartupServingAfter(t.Context(), time.Hour)
		<-s.done

		begun := time.Now()
		s.wait(t.Context(), time.Minute)

		if got := time.Since(begun); got != 0 {
			t.Errorf("waited: got %v, want not at all", got)
		}
	})
}

func TestWaitEndsWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartupServingAfter(t.Context(), time.Second)

		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()

		begun := time.Now()
		s.wait(ctx, time.Minute)

		if got, want := time.Since(begun), 50*time.Millisecond; got != want {
			t.Errorf("waited: got %v, want %v", got, want)
		}

		<-s.done
	})
}
