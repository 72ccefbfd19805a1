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
	counter *rollout.Counter
	service fleet.Service
	route   string
	place   uint64
	// isNew tells that the server is of the new version.
	isNew bool
	sent  time.Time
	// first and last are when events came, and events how many.
	first, last time.Time
	events      int
}

// choose returns which versions the next attempt may go to. A request that was tried is not
// tried at a new version again: it may be what fails there.
func (j *job) choose() rollout.Choice {
	if j.forwarder.Versions == nil {
		return rollout.Choice{}
	}

	if j.tried {
		return j.forwarder.Versions.ChooseRetry(j.service)
	}

	return j.forwarder.Versions.Choose(j.forwarder.Clock.Now(), j.service)
}

// beginTrial notes an attempt at a server. What is sent to a new version counts before it is
// sent, and what is sent to others once it has come there: neither makes the new version's
// part look smaller than it is.
func (j *job) beginTrial(a *scheduling.Assignment) {
	j.tried, j.trial = true, trial{}

	f := j.forwarder
	if f.Versions == nil || f.Trials == nil {
		return
	}

	target, place, running := f.Versions.InTrial(j.service)
	if !running {
		return
	}

	j.trial = trial{
		counter: f.Trials, service: j.service, route: j.route.Name, place: place,
		isNew: a.Version() == target, sent: f.Clock.Now(),
	}

	if j.trial.isNew {
		f.Trials.CountSent(j.service, place, j.route.Name, true)
	}
}

// event notes that an event has come.
func (t *trial) event(now time.Time) {
	if t.events == 0 {
		t.first = now
	}

	t.last = now
	t.events++
}

// end counts how the attempt ended.
func (t *trial) end(now time.Time, result scheduling.Result, err error) {
	if t.counter == nil {
		return
	}

	if !t.isNew && !errors.Is(err, backend.ErrNotSent) {
		t.counter.CountSent(t.service, t.place, t.route, false)
	}

	if result == scheduling.Served || result == scheduling.Failed {
		t.counter.CountAnswer(t.service, t.place, t.route, t.isNew, result == scheduling.Failed, t.took(now))
	}
}

// took returns what is held against others of the route: the mean time between events, or
// the time of an answer that has none.
func (t *trial) took(now time.Time) time.Duration {
	switch t.events {
	case 0:
		return now.Sub(t.sent)
	case 1:
		return 0
	default:
		return t.last.Sub(t.first) / time.Duration(t.events-1)
	}
}
