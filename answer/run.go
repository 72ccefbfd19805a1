package answer

import (
	"context"
	"time"

	"monsoonlever/backend"
)

// run is one request under way. Only its loop touches the relay and the sink.
type run struct {
	runner   *Runner
	request  Request
	sink     Sink
	ctx      context.Context
	relay    *Relay
	arrivals chan arrival
	open     map[backend.AttemptID]*attempt
	current  *attempt
	pending  []Event
	changed  <-chan struct{}
	complete *Complete
	refusal  *GiveUp
	timer    <-chan time.Time
	timerAt  time.Time
}

func (u *run) loop(callerGone <-chan struct{}) {
	u.watchLeaving()
	u.do(u.relay.Start(u.runner.Clock.Now()))
	u.settle()

	for !u.relay.Done() {
		u.arm()

		select {
		case a := <-u.arrivals:
			u.take(a)
		case <-u.timer:
			u.timer = nil
			u.takeWaiting()
			u.step(Tick{})
		case <-u.changed:
			u.watchLeaving()
			u.checkLeaving()
		case <-callerGone:
			callerGone = nil
			u.step(CallerGone{})
		}

		u.settle()
	}
}

// arm sets the timer unless one is set that fires early enough. A token moves
// the wake-up later, so most tokens need no new timer.
func (u *run) arm() {
	wake := u.relay.Wake()
	if u.timer != nil && !wake.Before(u.timerAt) {
		return
	}

	u.timerAt = wake
	u.timer = u.runner.Clock.After(wake.Sub(u.runner.Clock.Now()))
}

// takeWaiting takes what has arrived already, so that a slow caller does not
// make a stream look stalled.
func (u *run) takeWaiting() {
	for {
		select {
		case a := <-u.arrivals:
			u.take(a)
			u.settle()
		default:
			return
		}
	}
}

func (u *run) take(a arrival) {
	if a.other != nil {
		u.step(a.other)

		return
	}

	if a.err != nil {
		u.step(Broken{Attempt: a.attempt, Err: a.err})

		return
	}

	u.takeStream(a.stream)
}

func (u *run) takeStream(e backend.TokenEvent) {
	now := u.runner.Clock.Now()

	if e.Finish == "" {
		u.do(u.relay.Step(now, Token{Attempt: e.Attempt, Offset: e.Offset, Text: e.Token}))

		return
	}

	finished := Finished{Attempt: e.Attempt, Offset: e.Offset, Reason: e.Finish}
	if e.Usage != nil {
		finished.Usage = *e.Usage
	}

	u.do(u.relay.Step(now, finished))
}

func (u *run) step(e Event) {
	u.do(u.relay.Step(u.runner.Clock.Now(), e))
}

// settle feeds back what the commands themselves brought about.
func (u *run) settle() {
	for len(u.pending) > 0 {
		e := u.pending[0]
		u.pending = u.pending[1:]
		u.step(e)
	}
}

// watchLeaving takes the channel of the next change before the present notices
// are read, so that none falls between.
func (u *run) watchLeaving() {
	if u.runner.Leaving != nil {
		u.changed = u.runner.Leaving.Changed()
	}
}

func (u *run) checkLeaving() {
	if u.runner.Leaving == nil || u.current == nil {
		return
	}

	if at, ok := u.runner.Leaving.At(u.current.server); ok {
		u.pending = append(u.pending, LeavingNotice{Server: u.current.server, At: at})
	}
}

func (u *run) result() Result {
	return Result{
		complete: u.complete,
		refusal:  u.refusal,
		attempts: u.relay.Attempts(),
		drops:    u.relay.Drops(),
	}
}
