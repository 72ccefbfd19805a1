package answer

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

// releasingFleet keeps the error with which each attempt was released.
type releasingFleet struct {
	*fakeFleet
	released chan error
}

func (f releasingFleet) Pick(q Query) (Choice, bool) {
	choice, ok := f.fakeFleet.Pick(q)
	choice.Release = func(err error, _ int) { f.released <- err }

	return choice, ok
}

func TestServerIsBlamedForAStallAndNotForACallerWhoGoes(t *testing.T) {
	tests := []struct {
		desc       string
		callerGoes bool
		want       error
	}{
		{desc: "stall", want: context.DeadlineExceeded},
		{desc: "caller gone", callerGoes: true, want: context.Canceled},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &fakeEngine{request: "r", length: 10, hangAfter: 2}
				f := releasingFleet{
					fakeFleet: &fakeFleet{
						engines: map[fleet.InstanceID]*fakeEngine{"a": engine}, order: []fleet.InstanceID{"a"},
					},
					released: make(chan error, 1),
				}
				limits := DefaultLimits()
				limits.Failures = 0
				runner := &Runner{Clock: clock.System{}, Picker: f, Engines: f, Budget: noBudget{}, Limits: limits}

				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()

				if tt.callerGoes {
					time.AfterFunc(time.Second, cancel)
				}

				runner.Run(ctx, Request{ID: "r", Deadline: time.Now().Add(time.Minute)}, &fakeSink{})
				runner.Wait()

				if got := <-f.released; !errors.Is(got, tt.want) {
					t.Errorf("released with: got %v, want %v", got, tt.want)
				}
			})
		})
	}
}

// noBudget allows no further attempt.
type noBudget struct{}

func (noBudget) Take(time.Time) bool { return false }
