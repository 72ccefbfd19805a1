package answer

import (
	"testing"
	"time"
)

// TestTakeoverRefusesWhatItLacks checks that a copy that is known to lack
// tokens a caller has seen refuses the answer at once, with a time to come back.
func TestTakeoverRefusesWhatItLacks(t *testing.T) {
	p := newPair()
	b := p.stores["b"]
	epoch := Epoch{Owner: "a", Incarnation: 1}

	b.Receive(testStart, &Batch{From: "a", Begins: []Begin{{Request: Request{ID: "r0"}, Epoch: epoch, Holders: b.Candidates("r0")}}})
	b.Receive(testStart, &Batch{From: "a", Appends: []Append{{ID: "r0", Epoch: epoch, Offset: 2, Tokens: []string{"x"}, Visible: 3}}})
	b.SetMembers(testStart.Add(time.Second), nil)
	b.Tick(testStart.Add(time.Minute))

	end, ok := b.Read("", EventID{Request: "r0"}).Ending()
	if !ok || end.Refusal == nil {
		t.Fatalf("ending: got %+v, %v, want a refusal", end, ok)
	}

	if got, want := *end.Refusal, (GiveUp{Reason: ReasonPrefix, Ran: PartlyRan, RetryAfter: 5 * time.Second}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// TestPausedOwnerStops checks that an owner that was replaced while it was
// paused stops at its first word to the new owner.
func TestPausedOwnerStops(t *testing.T) {
	p := newPair()
	a, b := p.stores["a"], p.stores["b"]
	epoch := Epoch{Owner: "a", Incarnation: 1}

	p.do(t, a.Accept(testStart, Request{ID: "r0"}))

	for range 3 {
		p.deliver(t, testStart)
	}

	b.SetMembers(testStart, nil)

	if got, want := b.Owns("r0"), true; got != want {
		t.Fatalf("the copy owns: got %v, want %v", got, want)
	}

	a.Token(testStart, "r0", epoch, 0, "x")
	p.do(t, a.Tick(testStart.Add(time.Second)))
	p.deliver(t, testStart)

	stopped := false

	for _, f := range p.flights {
		for _, c := range a.Receive(testStart, f.Batch) {
			if _, ok := c.(Stop); ok {
				stopped = true
			}
		}
	}

	if got, want := stopped, true; got != want {
		t.Errorf("stopped: got %v, want %v", got, want)
	}

	if got, want := a.Read("", EventID{Request: "r0"}).State(), ReadUnknown; got != want {
		t.Errorf("the old owner's text: got %v, want %v", got, want)
	}
}
