package standin

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"monsoonlever/clock"
	"monsoonlever/fleet"
)

func TestSlotsServePriorityFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSlots(clock.System{}, 0, 1, 3)
		if err := s.acquire(t.Context(), 0); err != nil {
			t.Fatal(err)
		}

		order := make(chan fleet.Priority, 3)

		for _, priority := range []fleet.Priority{1, 3, 2} {
			go func() {
				if s.acquire(t.Context(), priority) == nil {
					order <- priority
				}

				s.release()
			}()

			synctest.Wait()
		}

		if err := s.acquire(t.Context(), 9); !errors.Is(err, errNotStarted) {
			t.Errorf("full queue: got %v, want %v", err, errNotStarted)
		}

		s.release()
		synctest.Wait()

		for _, want := range []fleet.Priority{3, 2, 1} {
			if got := <-order; got != want {
				t.Errorf("served: got %d, want %d", got, want)
			}
		}
	})
}

func TestLoadReportLags(t *testing.T) {
	c := clock.NewManual(time.Unix(100, 0))
	s := newSlots(c, time.Second, 2, 2)
	c.Advance(time.Minute)

	if err := s.acquire(t.Context(), 0); err != nil {
		t.Fatal(err)
	}

	if got := s.load(false); got.Running != 0 || !got.At.Equal(c.Now().Add(-time.Second)) {
		t.Errorf("load at once: got %+v, want that of a second ago", got)
	}

	c.Advance(time.Second)

	if got := s.load(true); got.Running != 1 || !got.Leaving {
		t.Errorf("load later: got %+v, want one running", got)
	}
}

func TestTokenRateFallsWithTheBatch(t *testing.T) {
	tests := []struct {
		desc    string
		running int
		want    time.Duration
	}{
		{desc: "alone", running: 1, want: time.Millisecond},
		{desc: "full rate", running: 2, want: time.Millisecond},
		{desc: "twice as many", running: 4, want: 2 * time.Millisecond},
	}

	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			e := NewEngine(clock.System{})
			e.FullRate = 2
			e.TokenInterval = time.Millisecond
			e.prepare()

			for range tt.running {
				if err := e.slots.acquire(t.Context(), 0); err != nil {
					t.Fatal(err)
				}
			}

			if got := e.interval(); got != tt.want {
				t.Errorf("interval: got %v, want %v", got, tt.want)
			}
		})
	}
}
