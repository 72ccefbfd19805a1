package feed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"monsoonlever/clock"
)

// script is a source that answers calls in a fixed order.
type script struct {
	calls   []string
	answers []func() (Changes, error)
}

func (s *script) Snapshot(context.Context) ([]Entry, Position, error) {
	s.calls = append(s.calls, "snapshot")

	return []Entry{{Key: "a", Data: []byte("1"), At: 4}}, 5, nil
}

func (s *script) Changes(_ context.Context, from Position, _ time.Duration) (Changes, error) {
	s.calls = append(s.calls, fmt.Sprint("changes ", from))
	next := s.answers[0]
	s.answers = s.answers[1:]

	return next()
}

func TestFollowerTakesTheWholeSetAgainAfterAGap(t *testing.T) {
	source := &script{answers: []func() (Changes, error){
		func() (Changes, error) {
			return Changes{Entries: []Entry{{Key: "a", Data: []byte("2"), At: 5}}, Next: 6, End: 9}, nil
		},
		func() (Changes, error) { return Changes{}, ErrTrimmed },
		func() (Changes, error) { return Changes{}, errors.New("away") },
		func() (Changes, error) { return Changes{Next: 5, End: 5}, nil },
	}}

	var applied []string

	confirmed := 0
	f := &Follower{
		Source: source, Clock: clock.NewManual(time.Unix(0, 0)),
		Apply: func(entries []Entry, whole bool) {
			for _, e := range entries {
				applied = append(applied, fmt.Sprint(e.Key, string(e.Data), whole))
			}
		},
		Confirm: func(time.Time) { confirmed++ },
	}

	for range 6 {
		_, err := f.step(t.Context())
		if errors.Is(err, ErrTrimmed) {
			f.positioned = false
		}
	}

	if got, want := fmt.Sprint(source.calls), "[snapshot changes 5 changes 6 snapshot changes 5 changes 5]"; got != want {
		t.Errorf("calls: got %s, want %s", got, want)
	}

	if got, want := fmt.Sprint(applied), "[a1true a2false a1true]"; got != want {
		t.Errorf("applied: got %s, want %s", got, want)
	}

	// Two whole sets and one read to the end say that the set is the newest; neither
	// a read that leaves more behind nor a failed one does.
	if confirmed != 3 {
		t.Errorf("confirmed: got %d, want 3", confirmed)
	}
}
