package scheduling

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"monsoonlever/clock"
)

// Twice the usual prompts arrive for five seconds, more than the engines can read. If they are
// sent immediately, 31 in 100 begin late; if those that are late in any case are held and finally
// refused, 15 in 100 begin late or are refused.
func TestHoldingLatePromptsReducesLateStarts(t *testing.T) {
	var immediate, held simulationResult

	for seed := range uint64(5) {
		p := simulation{
			instances: 8, engines: 7, interval: 25 * time.Millisecond, duration: 30 * time.Second,
			updates: true, delay: 50 * time.Millisecond, burst: 2, seed: seed,
		}
		immediate.waits = append(immediate.waits, p.run(t).waits...)

		p.holding = true
		result := p.run(t)
		held.waits = append(held.waits, result.waits...)
		held.refused += result.refused
	}

	slices.Sort(immediate.waits)
	slices.Sort(held.waits)

	if got, before := held.late(), immediate.late(); got > 0.7*before {
		t.Errorf("prompts that begin late: got %.3f with holding and %.3f without, want at most 0.7 of that", got, before)
	}

	if got, want := len(held.waits)+held.refused, len(immediate.waits); got != want {
		t.Errorf("prompts that were read or refused: got %d, want all %d", got, want)
	}

	// A caller that receives nothing disconnects, and its prompt is then read in vain. The
	// largest prompts take two seconds by themselves.
	if got, want := held.waits[len(held.waits)-1], callerTimeout+2*time.Second; got > want {
		t.Errorf("longest wait of a prompt that was read: got %v, want at most %v", got, want)
	}
}

// busyEngine returns a scheduler whose only engine has a backlog that takes the given time to
// read, at the rate that the scheduler has measured.
func busyEngine(backlog time.Duration) *Scheduler {
	s := engines(1, 64)

	for range minSamples {
		s.meter("llm").recordReadRate(40_000, time.Second)
	}

	tokens := uint32(backlog.Seconds() * 40_000)
	s.ApplyUpdate(now, "entry-2", Peer, ServerUpdate{Backlogs: []Backlog{{Server: s.servers["i-0"].key, Tokens: tokens}}})

	return s
}

func TestDecide(t *testing.T) {
	tests := []struct {
		name    string
		backlog time.Duration
		due     time.Duration
		until   time.Duration
		want    decision
	}{
		{"begins in time", 400 * time.Millisecond, time.Second, 4 * time.Second, send},
		{"can't begin in time", 900 * time.Millisecond, time.Second, 4 * time.Second, hold},
		{"is late but the server has room", 90 * time.Millisecond, -time.Second, 4 * time.Second, send},
		{"was held for long enough", 900 * time.Millisecond, -time.Second, -time.Millisecond, refuse},
		{"would miss the caller's deadline if it waited longer", 2 * time.Second, time.Second, 4 * time.Second, refuse},
		{"can't begin before the caller's deadline", 9 * time.Second, time.Second, 4 * time.Second, refuse},
	}

	for _, test := range tests {
		r := promptRequest("session")
		r.Due, r.HoldUntil, r.CallerDeadline = now.Add(test.due), now.Add(test.until), now.Add(2400*time.Millisecond)

		if got := pick(t, busyEngine(test.backlog), r).decide(now, r); got != test.want {
			t.Errorf("decision for a prompt that %s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Half of the backlog is read when the first refused callers retry, and they don't retry
// together.
func TestRetryAfterIsSpread(t *testing.T) {
	const backlog = 4 * time.Second

	a := pick(t, busyEngine(backlog), promptRequest("session"))
	least, most := time.Hour, time.Duration(0)

	for range 200 {
		after := a.retryAfter()
		least, most = min(least, after), max(most, after)
	}

	if least < backlog/2 || most > backlog*3/2 || most-least < backlog/2 {
		t.Errorf("retry after: got %v to %v, want them spread over %v to %v", least, most, backlog/2, backlog*3/2)
	}
}

func TestPromptsAreSentWhileReadRateUnknown(t *testing.T) {
	s := engines(1, 64)
	s.ApplyUpdate(now, "entry-2", Peer, ServerUpdate{Backlogs: []Backlog{{Server: s.servers["i-0"].key, Tokens: 1 << 20}}})

	r := promptRequest("session")
	r.Due, r.HoldUntil, r.CallerDeadline = now.Add(time.Second), now.Add(4*time.Second), now.Add(4*time.Second)

	if got := pick(t, s, r).decide(now, r); got != send {
		t.Errorf("decision without a read rate: got %v, want %v", got, send)
	}
}

// A held prompt is released when its context ends, and is sent once the server has room.
func TestHoldingEndsWithContextOrBacklog(t *testing.T) {
	s := busyEngine(10 * time.Second)
	clk := clock.NewManual(now)
	r := promptRequest("session")
	r.Due, r.HoldUntil, r.CallerDeadline = now.Add(time.Second), now.Add(time.Minute), now.Add(time.Minute)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()

	if _, err := s.Place(ctx, clk, r); !errors.Is(err, context.Canceled) {
		t.Errorf("place with a cancelled context: got %v, want %v", err, context.Canceled)
	}

	placed := make(chan error)

	go func() {
		_, err := s.Place(t.Context(), clk, r)
		placed <- err
	}()

	s.ApplyUpdate(now, "entry-2", Peer, ServerUpdate{Backlogs: []Backlog{{Server: s.servers["i-0"].key}}})

	for {
		select {
		case err := <-placed:
			if err != nil {
				t.Errorf("place once there is room: got %v, want a server", err)
			}

			return
		default:
			clk.Advance(holdInterval)
		}
	}
}
