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
		t.Error("before any answer: got current, want not")
	}

	requestedAt := c.Now()

	// The answer comes late, or the machine slept before it was read.
	c.Advance(3 * time.Second)
	tracker.Confirm(requestedAt)

	if !tracker.Current() {
		t.Error("3s after the question: got not current, want current")
	}

	c.Advance(time.Second + time.Millisecond)

	if tracker.Current() {
		t.Error("4s after the question: got current, want not")
	}

	tracker.Confirm(c.Now())
	tracker.Confirm(requestedAt)

	if !tracker.Current() {
		t.Error("an old answer took a newer confirmation back")
	}
}
