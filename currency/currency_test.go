package currency

import (
	"testing"
	"time"

	"monsoonlever/clock"
)

func TestConfirmationAgesFromRequest(t *testing.T) {
	c := clock.NewManual(time.Unix(1000, 0))
	tracker := &Tracker{Clock: c, MaxAge: 4 * time.Second}

	if tracker.Current() {
		t.Error("before any confirmation: got current, want not current")
	}

	requestedAt := c.Now()

	// The response is delayed, or the machine is suspended before the response is read.
	c.Advance(3 * time.Second)
	tracker.Confirm(requestedAt)

	if !tracker.Current() {
		t.Error("3s after the request: got not current, want current")
	}

	c.Advance(time.Second + time.Millisecond)

	if tracker.Current() {
		t.Error("over 4s after the request: got current, want not current")
	}

	tracker.Confirm(c.Now())
	tracker.Confirm(requestedAt)

	if !tracker.Current() {
		t.Error("after an older confirmation: got not current, want current")
	}
}
