package scheduling

import (
	"math"
	"time"

	"monsoonlever/pace"
)

const (
	// minPacedEvents is the least number of pauses of a stream that gives a sample of its rate.
	minPacedEvents = 4
	// usualPauseRatio is the ratio of the longest pause of a stream to its mean one that is assumed
	// while it is unknown: a prompt is read in one of them.
	usualPauseRatio = 3
)

// eventPauses are the pauses between the events of one stream, in the time that they would have taken
// without the slowness that the server told.
type eventPauses struct {
	lastAt       time.Time
	count        int
	sum, longest float64
}

// add adds the pause that ends at a time.
func (e *eventPauses) add(now time.Time, slowness float64) {
	if !e.lastAt.IsZero() {
		pause := now.Sub(e.lastAt).Seconds() / slowness
		e.count++
		e.sum += pause
		e.longest = max(e.longest, pause)
	}

	e.lastAt = now
}

// recordStart records what is known of the server at the start, if the servers tell their slowness.
func (a *Assignment) recordStart(now time.Time) {
	if a.server.pace.service.told(now) {
		a.startSlowness, a.startLoad = a.server.pace.expectedSlowness(now), a.server.load(now)
	}
}

// EventReceived records an event of a stream.
func (a *Assignment) EventReceived(now time.Time) {
	a.FirstEventReceived(now)

	if a.server.pace.service.told(now) {
		a.pauses.add(now, a.server.pace.expectedSlowness(now))
	}
}

// recordReading records the time in which the server read the prompt and the backlog before it.
func (a *Assignment) recordReading(now time.Time) {
	tokens := a.backlog + int64(a.uncachedTokens)
	if a.startSlowness > 0 && tokens >= minReadTokens {
		// Both figures are known by now: that of the start, and that of the response.
		slowness := (a.startSlowness + a.server.pace.expectedSlowness(now)) / 2
		took := now.Sub(a.startedAt).Seconds()

		if rate := a.server.pace.service.usual[reading].load() * a.server.pace.of(reading); rate > 0 {
			a.scheduler.Counters.readSlowness(slowness, took*rate/float64(tokens))
		}

		a.recordPace(now, reading, float64(tokens)*slowness/took)
	}
}

// recordAnswer records the pauses of a stream, or the time of a request without a prompt.
func (a *Assignment) recordAnswer(now time.Time) {
	switch {
	case a.startSlowness == 0:
	case a.meter == nil && !a.answerBegun:
		// Requests that wait for a slot show how full the server is, not how fast.
		if slots := a.server.entry().Slots; slots == 0 || a.startLoad < float64(slots) {
			slowness := (a.startSlowness + a.server.pace.expectedSlowness(now)) / 2
			a.recordPace(now, calling, slowness/now.Sub(a.startedAt).Seconds())
		}
	case a.pauses.count >= minPacedEvents:
		a.recordPace(now, writing, float64(a.pauses.count)/a.pauses.sum)
		a.server.pace.service.addPauseRatio(now, a.pauses.longest*float64(a.pauses.count)/a.pauses.sum)
	}
}

func (a *Assignment) recordPace(now time.Time, kind paceKind, rate float64) {
	sample := pace.SampleOf(rate)
	if !a.server.pace.service.told(now) || !sample.Valid() {
		return
	}

	a.server.pace.add(now, kind, sample, true)
	a.scheduler.publishPace(a.server, true)
}

// addPauseRatio adds the ratio of the longest pause of a stream to its mean one.
func (p *servicePace) addPauseRatio(now time.Time, ratio float64) {
	p.mu.Lock()
	defer p.mu.Unlock()

	p.pauses.Add(now, pace.SampleOf(ratio))
	p.ratio.store(usualPauseRatio * p.pauses.Relative(now, usualPauseRatio))
}

// pauseRatio returns the usual ratio of the longest pause of a stream to its mean one.
func (p *servicePace) pauseRatio() float64 { return math.Max(p.ratio.load(), 1) }
