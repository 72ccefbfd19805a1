package feed

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"monsoonlever/clock"
)

// scriptedSource is a source that returns a fixed sequence of responses.
type scriptedSource struct {
	calls     []string
	responses []func() (Changes, error)
}

func (s *scriptedSource) Snapshot(context.Context) ([]Entry, Position, error) {
	s.calls = append(s.calls, "snapshot")

	return []Entry{{Key: "a", Data: []byte("1"), At: 4}}, 5, nil
}

func (s *scriptedSource) Changes(_ context.Context, from Position, _ time.Duration) (Changes, error) {
	s.calls = append(s.calls, fmt.Sprint("changes ", from))
	next := s.responses[0]
	s.responses = s.responses[1:]

	return next()
}

func TestFollowerReadsSnapshotAfterTrimmedChanges(t *testing.T) {
	source := &scriptedSource{responses: []func() (Changes, error){
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
		Apply: func(entries []Entry, snapshot bool) {
			for _, e := range entries {
				applied = append(applied, fmt.Sprint(e.Key, string(e.Data), snapshot))
			}
		},
		Confirm: func(time.Time) { confirmed++ },
	}

	for range 6 {
		_, err := f.readOnce(t.Context())
		if errors.Is(err, ErrTrimmed) {
			f.hasPosition = false
		}
	}

	if got, want := fmt.Sprint(source.calls), "[snapshot changes 5 changes 6 snapshot changes 5 changes 5]"; got != want {
		t.Errorf("calls: got %s, want %s", got, want)
	}

	if got, want := fmt.Sprint(applied), "[a1true a2false a1true]"; got != want {
		t.Errorf("applied: got %s, want %s", got, want)
	}

	// Two snapshots and one read to the end confirm the entries. A read that stops before the
	// end and failed reads do not.
	if confirmed != 3 {
		t.Errorf("confirmed: got %d, want 3", confirmed)
	}
}

// blockingSource is a source whose reads with a wait block until their context ends.
type blockingSource struct {
	waits chan time.Duration
}

func (w *blockingSource) Snapshot(context.Context) ([]Entry, Position, error) { return nil, 1, nil }

func (w *blockingSource) Changes(ctx context.Context, from Position, wait time.Duration) (Changes, error) {
	w.waits <- wait

	if wait > 0 {
		<-ctx.Done()

		return Changes{}, ctx.Err()
	}

	return Changes{Next: from, End: from}, nil
}

// Wake cancels a read that waits for changes; the next read begins immediately and does not wait.
func TestWakeEndsLongRead(t *testing.T) {
	source := &blockingSource{waits: make(chan time.Duration, 16)}
	confirmed := make(chan time.Time, 16)
	f := &Follower{
		Name: "rules", Source: source, Clock: clock.NewSteady(),
		Timing:  func() PollTiming { return PollTiming{MaxWait: time.Minute} },
		Apply:   func([]Entry, bool) {},
		Confirm: func(startedAt time.Time) { confirmed <- startedAt },
	}

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)
		f.Run(ctx)
	}()

	<-confirmed

	for _, want := range []time.Duration{time.Minute, 0, time.Minute} {
		if got := <-source.waits; got != want {
			t.Fatalf("wait: got %v, want %v", got, want)
		}

		if want > 0 {
			f.Wake()
		} else {
			<-confirmed
		}
	}

	cancel()
	<-done
}

// unresponsiveSource is a source that does not respond to the first read of changes.
type unresponsiveSource struct {
	reads chan int
	count int
}

func (s *unresponsiveSource) Snapshot(context.Context) ([]Entry, Position, error) { return nil, 1, nil }

func (s *unresponsiveSource) Changes(ctx context.Context, from Position, _ time.Duration) (Changes, error) {
	s.count++
	s.reads <- s.count

	if s.count == 1 {
		<-ctx.Done()

		return Changes{}, ctx.Err()
	}

	return Changes{Next: from, End: from}, nil
}

func TestSourceChangedEndsUnansweredRead(t *testing.T) {
	source := &unresponsiveSource{reads: make(chan int)}
	f := &Follower{
		Name: "register", Source: source, Clock: clock.NewSteady(),
		Timing: func() PollTiming { return PollTiming{} }, Apply: func([]Entry, bool) {},
	}

	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})

	go func() {
		defer close(done)
		f.Run(ctx)
	}()

	<-source.reads

	changedAt := time.Now()

	f.SourceChanged()
	<-source.reads

	if got, limit := time.Since(changedAt), readTimeoutMargin/2; got > limit {
		t.Errorf("read of the new source: got it after %v, want within %v", got, limit)
	}

	cancel()

	for {
		select {
		case <-source.reads:
		case <-done:
			return
		}
	}
}

// A read is postponed while other instances read the source, and happens once they stop.
func TestExtraDelayPostponesRead(t *testing.T) {
	clk := clock.NewManual(time.Unix(0, 0))

	const delayUntilSecond = 5

	delayCalls := 0
	f := &Follower{
		Clock: clk, Timing: func() PollTiming { return PollTiming{Interval: time.Second} },
		ExtraDelay: func() time.Duration {
			delayCalls++

			// Other instances read the source until then.
			return time.Unix(delayUntilSecond, 0).Sub(clk.Now())
		},
	}
	done := make(chan struct{})

	go func() {
		f.pause(t.Context())
		close(done)
	}()

	for {
		select {
		case <-done:
			if got, want := clk.Now(), time.Unix(delayUntilSecond, 0); got.Before(want) {
				t.Errorf("next read: got it at %v, want it no sooner than %v", got, want)
			}

			if delayCalls == 0 {
				t.Error("ExtraDelay: got no call, want one after each pause")
			}

			return
		default:
			clk.Advance(100 * time.Millisecond)
			runtime.Gosched()
		}
	}
}

// The first read after a source has recovered confirms the known entries and does not wait for a
// change.
func TestFirstReadAfterFailureDoesNotWait(t *testing.T) {
	var waits []time.Duration

	failing := true
	source := &funcSource{changes: func(wait time.Duration) (Changes, error) {
		waits = append(waits, wait)
		if failing {
			return Changes{}, errors.New("away")
		}

		return Changes{Next: 5, End: 5}, nil
	}}
	f := &Follower{
		Name: "test", Source: source, Clock: clock.NewManual(time.Unix(0, 0)),
		Timing: func() PollTiming { return PollTiming{MaxWait: time.Second} }, Apply: func([]Entry, bool) {},
	}

	for i := range 5 {
		failing = i == 2

		_, err := f.readOnce(t.Context())
		f.recordResult(err)

		if err != nil {
			f.backoff = minBackoff
		}
	}

	want := []time.Duration{time.Second, time.Second, 0, time.Second}
	if fmt.Sprint(waits) != fmt.Sprint(want) {
		t.Errorf("waits: got %v, want %v", waits, want)
	}
}

// funcSource is a source that reads changes with a function of the wait.
type funcSource struct {
	changes func(wait time.Duration) (Changes, error)
}

func (*funcSource) Snapshot(context.Context) ([]Entry, Position, error) { return nil, 5, nil }

func (s *funcSource) Changes(_ context.Context, _ Position, wait time.Duration) (Changes, error) {
	return s.changes(wait)
}
