package lease_test

import (
	"testing"
	"time"

	"monsoonlever/lease"
)

func TestCorrectorDelaysNewStateAfterUncertainOrder(t *testing.T) {
	for _, tt := range []struct {
		desc  string
		state int
		after time.Duration
		want  int
	}{
		{"the same state after the retry interval", 1, time.Second, 1},
		{"another state within the order delay", 2, 4 * time.Second, 0},
		{"another state after the order delay", 2, 5 * time.Second, 1},
	} {
		t.Run(tt.desc, func(t *testing.T) {
			c := &lease.Corrector[int]{ReadInterval: time.Hour, RetryInterval: time.Second, MaxOrderDelay: 5 * time.Second}
			c.SetDesired("runner-1", 1)
			c.Step(start, 7)
			c.OrderFinished(start, "runner-1", false)
			c.SetDesired("runner-1", tt.state)

			if got := len(c.Step(start.Add(tt.after), 7)); got != tt.want {
				t.Errorf("orders: got %d, want %d", got, tt.want)
			}
		})
	}
}

func TestCorrectorLimitsOutstandingOrdersToOne(t *testing.T) {
	c := &lease.Corrector[int]{ReadInterval: time.Hour, RetryInterval: time.Second}
	c.SetDesired("runner-1", 1)
	c.Step(start, 7)
	c.SetDesired("runner-1", 2)

	if got, want := len(c.Step(start.Add(time.Minute), 7)), 0; got != want {
		t.Errorf("orders while one is outstanding: got %d, want %d", got, want)
	}

	c.OrderFinished(start.Add(time.Minute), "runner-1", true)

	if got, want := len(c.Step(start.Add(time.Minute), 7)), 1; got != want {
		t.Errorf("orders after the response: got %d, want %d", got, want)
	}
}
