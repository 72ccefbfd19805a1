package scheduling

import (
	"testing"
	"time"

	"monsoonlever/register"
)

// Checks that each loss of a path and its end are reported once.
func TestPathChangesAreReportedOnce(t *testing.T) {
	var changes []PathChange

	s := &Scheduler{OnPathChange: func(c PathChange) { changes = append(changes, c) }}
	s.Update([]register.Server{{ID: "i-1", Service: "llm", Address: "127.0.0.1:1"}})

	now := time.Unix(1000, 0)

	for _, result := range []Result{Unreachable, Terminated, Unreachable, Served, Rejected} {
		a, err := s.Pick(now, Request{Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}

		a.Start(now)
		now = now.Add(time.Second)
		a.End(now, result)
	}

	if got, want := len(changes), 2; got != want {
		t.Fatalf("changes: got %d, want %d", got, want)
	}

	if got, want := changes[0].Lost, true; got != want {
		t.Errorf("first change: got lost %v, want %v", got, want)
	}

	if got, want := changes[1].After, 3*time.Second; got != want {
		t.Errorf("path lost for: got %v, want %v", got, want)
	}
}
