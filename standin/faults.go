package standin

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/clock"
)

// FaultsPath is where a backend server's stand-in takes a FaultOrder.
const FaultsPath = "/faults"

// The errors of a stand-in that is made to fail.
var (
	// ErrDown means that the call was refused and did nothing.
	ErrDown = errors.New("stand-in is down")
	// ErrNoAnswer means that the caller gets no answer, whether or not the call
	// took effect.
	ErrNoAnswer = errors.New("stand-in gives no answer")
	// ErrUnknownFault means that a FaultOrder has a kind that is not known.
	ErrUnknownFault = errors.New("unknown kind of fault")
)

// Faults holds the faults of one stand-in.
type Faults struct {
	clock clock.Clock
	// OnKill ends the server of the stand-in; it may be nil.
	OnKill func()

	mu      sync.Mutex
	slow    period
	delay   time.Duration
	down    period
	silent  bool
	frozen  period
	thawed  chan struct{}
	lost    lottery
	streams []streamFault
	leaving bool
	refuses bool
	killed  bool
}

// NewFaults returns a Faults with none.
func NewFaults(c clock.Clock) *Faults {
	return &Faults{clock: c, thawed: make(chan struct{})}
}

// Apply begins a fault.
func (f *Faults) Apply(o FaultOrder) error {
	if o.Kind == Kill {
		f.kill()

		return nil
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	switch o.Kind {
	case Clear:
		f.clear()
	case Slow:
		f.delay = time.Duration(o.Delay)
		f.slow = newPeriod(f.clock.Now(), time.Duration(o.Duration))
	case Down:
		f.silent = o.Silent
		f.down = newPeriod(f.clock.Now(), time.Duration(o.Duration))
	case Freeze:
		f.frozen = newPeriod(f.clock.Now(), time.Duration(o.Duration))
	case EffectWithoutAnswer, LoseAnswer:
		f.lost = newLottery(o)
	case Leaving:
		f.leaving = true
	case Drain:
		f.leaving = true
		f.refuses = true
	default:
		return f.applyToStreams(o)
	}

	return nil
}

func (f *Faults) applyToStreams(o FaultOrder) error {
	switch o.Kind { //nolint:exhaustive // the rest is handled by Apply
	case KillStream, TruncateStream, RepeatTokens, CrossTokens, GarbleStream:
	default:
		return merry.Prependf(ErrUnknownFault, "apply fault %q", o.Kind)
	}

	for range max(o.Count, 1) {
		f.streams = append(f.streams, streamFault{kind: o.Kind, after: o.AfterTokens})
	}

	return nil
}

func (f *Faults) kill() {
	f.mu.Lock()
	f.killed = true
	f.frozen = period{}
	f.wake()
	f.mu.Unlock()

	if f.OnKill != nil {
		f.OnKill()
	}
}

func (f *Faults) clear() {
	f.slow = period{}
	f.down = period{}
	f.frozen = period{}
	f.lost = lottery{}
	f.streams = nil
	f.leaving = false
	f.refuses = false
	f.wake()
}

// wake lets those who wait look again whether they still have to.
func (f *Faults) wake() {
	close(f.thawed)
	f.thawed = make(chan struct{})
}

// Enter is called at the start of each call. It waits while the stand-in is
// frozen or slow, and fails if it is down.
func (f *Faults) Enter(ctx context.Context) error {
	if err := f.Thaw(ctx); err != nil {
		return err
	}

	delay, err := f.admit()
	if err != nil || delay == 0 {
		return err
	}

	return sleep(ctx, f.clock, delay)
}

func (f *Faults) admit() (time.Duration, error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if f.killed {
		return 0, merry.Wrap(ErrNoAnswer)
	}

	now := f.clock.Now()
	if f.down.covers(now) {
		if f.silent {
			return 0, merry.Wrap(ErrNoAnswer)
		}

		return 0, merry.Wrap(ErrDown)
	}

	if f.slow.covers(now) {
		return f.delay, nil
	}

	return 0, nil
}

// Thaw waits while the stand-in is frozen.
func (f *Faults) Thaw(ctx context.Context) error {
	for {
		f.mu.Lock()
		now := f.clock.Now()
		frozen := f.frozen.covers(now)
		left := f.frozen.left(now)
		thawed := f.thawed
		f.mu.Unlock()

		if !frozen {
			return nil
		}

		select {
		case <-f.clock.After(left):
		case <-thawed:
		case <-ctx.Done():
			return merry.Wrap(ctx.Err())
		}
	}
}

// LosesAnswer tells whether the call that just took effect gets no answer.
func (f *Faults) LosesAnswer() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.lost.draw()
}

// IsLeaving tells whether the stand-in reports that it leaves.
func (f *Faults) IsLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.leaving
}

// IsKilled tells whether the stand-in was killed: what waits never runs.
func (f *Faults) IsKilled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.killed
}

// Refuses tells whether new calls are refused before they start.
func (f *Faults) Refuses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.refuses
}

// nextStream returns the fault of a stream that starts now, if there is one.
func (f *Faults) nextStream() streamFault {
	f.mu.Lock()
	defer f.mu.Unlock()

	if len(f.streams) == 0 {
		return streamFault{}
	}

	next := f.streams[0]
	f.streams = f.streams[1:]

	return next
}
