package forward

import (
	"errors"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/rollout"
	"monsoonlever/scheduling"
)

// trial measures one attempt while a new version of the service is tried. The zero value
// counts nothing.
type trial struct {
	counter *rollout.Counter
	service fleet.Service
	route   string
	// orderPlace identifies the order for the new version by its place among all orders.
	orderPlace uint64
	// newVersion is set if the server runs the new version.
	newVersion bool
	sent       time.Time
	// first and last are when the first and the last event were received, and eventCount
	// the number of events.
	first, last time.Time
	eventCount  int
}

// chooseVersion returns the server versions to which the next attempt may be sent. A request
// is not sent to a new version after its first attempt, since the request itself may be what
// fails there.
func (j *job) chooseVersion() rollout.Choice {
	if j.bound() {
		return j.boundChoice()
	}

	if j.forwarder.Versions == nil {
		return rollout.Choice{}
	}

	if j.placed {
		return j.forwarder.Versions.ChooseRetry(j.service)
	}

	return j.forwarder.Versions.Choose(j.forwarder.Clock.Now(), j.service)
}

// startTrial starts to measure an attempt at a server. An attempt at the new version is counted
// before it is sent, one at another version only after it was sent, so that the counts never
// understate the new version's share of the requests.
func (j *job) startTrial(a *scheduling.Assignment) {
	j.placed, j.trial = true, trial{}

	f := j.forwarder
	if f.Versions == nil || f.Trials == nil {
		return
	}

	target, place, running := f.Versions.InTrial(j.service)
	if !running {
		return
	}

	j.trial = trial{
		counter: f.Trials, service: j.service, route: j.route.Name, orderPlace: place,
		newVersion: a.Version() == target, sent: f.Clock.Now(),
	}

	if j.trial.newVersion {
		f.Trials.CountSent(j.service, place, j.route.Name, true)
	}
}

// recordEvent records that an event was received.
func (t *trial) recordEvent(now time.Time) {
	if t.eventCount == 0 {
		t.first = now
	}

	t.last = now
	t.eventCount++
}

// end counts the result of the attempt.
func (t *trial) end(now time.Time, result scheduling.Result, err error) {
	if t.counter == nil {
		return
	}

	if !t.newVersion && !errors.Is(err, backend.ErrNotSent) {
		t.counter.CountSent(t.service, t.orderPlace, t.route, false)
	}

	if result == scheduling.Served || result == scheduling.Failed {
		t.counter.CountAnswer(t.service, t.orderPlace, t.route, t.newVersion, result == scheduling.Failed, t.measuredTime(now))
	}
}

// measuredTime returns the time by which versions are compared within a route: the mean time
// between events, the duration of an attempt without events, or zero after a single event.
func (t *trial) measuredTime(now time.Time) time.Duration {
	switch t.eventCount {
	case 0:
		return now.Sub(t.sent)
	case 1:
		return 0
	default:
		return t.last.Sub(t.first) / time.Duration(t.eventCount-1)
	}
}
