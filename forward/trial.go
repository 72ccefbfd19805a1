package forward

import (
	"errors"
	"time"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/rollout"
	"monsoonlever/scheduling"
)

// trial is what an attempt counts for while a new version of the service is tried. The zero
// value counts nothing.
type trial struct {
	counter    *rollout.Counter
	service    fleet.Service
	route      string
	orderPlace uint64
	// newVersion tells that the server is of the new version.
	newVersion bool
	sent       time.Time
	// first and last are when events came, and events how many.
	first, last time.Time
	eventCount  int
}

// chooseVersion returns which versions the next attempt may go to. A request that was tried is not
// tried at a new version again: it may be what fails there.
func (j *job) chooseVersion() rollout.Choice {
	if j.forwarder.Versions == nil {
		return rollout.Choice{}
	}

	if j.placed {
		return j.forwarder.Versions.ChooseRetry(j.service)
	}

	return j.forwarder.Versions.Choose(j.forwarder.Clock.Now(), j.service)
}

// startTrial notes an attempt at a server. What is sent to a new version counts before it is
// sent, and what is sent to others once it has come there: neither makes the new version's
// part look smaller than it is.
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

// recordEvent notes that an recordEvent has come.
func (t *trial) recordEvent(now time.Time) {
	if t.eventCount == 0 {
		t.first = now
	}

	t.last = now
	t.eventCount++
}

// end counts how the attempt ended.
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

// measuredTime returns what is held against others of the route: the mean time between events, or
// the time of an answer that has none.
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
