package scheduling

import (
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/ratelimit"
	"monsoonlever/register"
)

// Result is the outcome of an attempt.
type Result int

// The results.
const (
	// Served attempts were answered, with any status.
	Served Result = iota
	// Failed attempts got no answer, or an invalid one.
	Failed
	// Unreachable attempts got no connection.
	Unreachable
	// Terminated attempts had their connection refused: the server's machine responds, but its
	// process has terminated.
	Terminated
	// Rejected attempts were not run because the server had no room.
	Rejected
	// Cancelled attempts say nothing about the server.
	Cancelled
)

const (
	// unreachableAvoidance is how long requests avoid an unreachable or terminated server: about
	// as long as the entry of a lost server stays in the register.
	unreachableAvoidance = 1500 * time.Millisecond
	// fullAvoidance is how long requests avoid a server that rejected one for lack of room, so
	// that it can work off its queue.
	fullAvoidance = 250 * time.Millisecond
)

// Assignment is one attempt at a server. It is used by one goroutine.
type Assignment struct {
	server    *server
	scheduler *Scheduler
	// version is that of the server's entry when it was picked.
	version fleet.Version
	prompt  Prompt
	// keys are the keys of the prompt's segments.
	keys           []Key
	uncachedTokens int
	// backlog is the number of tokens that waited at the server when it was picked.
	backlog int64
	// meter is nil for requests without a prompt.
	meter *meter
	// pace is the pace of the server when the attempt was started.
	pace float64

	// trial is the backoff for which this attempt is the trial, or nil.
	trial *backoff

	// permit is the permit that was granted for the attempt, or nil.
	permit *ratelimit.Permit

	pickedAt, startedAt time.Time
	// startSlowness and startLoad are the expected slowness and the requests in progress of the
	// server at the start.
	startSlowness, startLoad float64
	pauses                   eventPauses

	started     bool
	answerBegun bool
	ended       atomic.Bool
}

// ID returns the instance ID of the server.
func (a *Assignment) ID() fleet.InstanceID { return a.server.entry().ID }

// Service returns the service of the server.
func (a *Assignment) Service() fleet.Service { return a.server.entry().Service }

// Version returns the version that the server ran when it was picked.
func (a *Assignment) Version() fleet.Version { return a.version }

// Address returns the server's address.
func (a *Assignment) Address() string { return a.server.entry().Address }

// Blocked reports whether the server accepts no requests now, because it leaves, was removed or
// is in backoff.
func (a *Assignment) Blocked(now time.Time) bool {
	return a.server.isLeaving() || a.server.announcements.inBackoff(now)
}

// Leaving reports whether the server is known to leave or was removed.
func (a *Assignment) Leaving() bool { return a.server.isLeaving() }

// ReportTerminated records that the server's process was found to be terminated, and publishes
// that to other instances.
func (a *Assignment) ReportTerminated(now time.Time) {
	a.scheduler.publishTerminated(now, a.server, true)
}

// KnownTerminated reports whether the server's process was recently found to be terminated.
func (a *Assignment) KnownTerminated(now time.Time) bool { return a.server.isTerminated(now) }

// Server returns the server process of the attempt.
func (a *Assignment) Server() register.Process { return a.server.entry().Process() }

// AnswerBegun reports whether the first event was received.
func (a *Assignment) AnswerBegun() bool { return a.answerBegun }

// Start counts the attempt as running. It returns false, and counts nothing, if the server accepts
// no requests by now.
func (a *Assignment) Start(now time.Time) bool {
	b := a.server.announcements.backoff.Load()
	if a.server.isLeaving() || !b.begin(now) {
		a.Release()

		return false
	}

	a.trial = b
	a.recordStart(now)

	a.scheduler.countSend(now, a.server)
	a.server.beginWait(now, a.server.running.Add(1) == 1, a.prompt.Tokens > 0)
	a.server.pendingTokens.Add(int64(a.uncachedTokens))
	a.started, a.startedAt = true, now

	if a.uncachedTokens > 0 {
		// The shared segments are read before any prompt that arrives after this one.
		a.scheduler.publishBacklog(a.server, nil, true)
		a.scheduler.publishSegments(now, a.server, a.keys[:max(len(a.keys)-1, 0)], true)
	}

	if a.meter != nil {
		a.meter.addArrival(now, a.prompt.ownTokens(), a.uncachedTokens)
		a.pace = a.server.pace.overall()
	}

	return true
}

// FirstEventReceived records that the first event was received, so that the server has read the
// prompt.
func (a *Assignment) FirstEventReceived(now time.Time) {
	if !a.started || a.answerBegun {
		return
	}

	a.answerBegun = true
	a.reportPermit(now, ratelimit.Began, true)
	a.server.pendingTokens.Add(-int64(a.uncachedTokens))

	if a.uncachedTokens > 0 {
		a.scheduler.publishBacklog(a.server, nil, true)
		a.scheduler.publishSegments(now, a.server, a.keys, true)
	}

	if a.meter != nil {
		a.meter.recordSpeed(a.prompt.ownTokens(), now.Sub(a.startedAt))
		a.meter.recordReadRate(a.backlog+int64(a.uncachedTokens), now.Sub(a.startedAt))
		a.recordReading(now)

		if a.backlog == 0 {
			a.meter.recordUnqueuedRead(a.uncachedTokens, a.pace, now.Sub(a.startedAt))
		}
	}
}

// End ends the attempt with a result. Only its first call has an effect.
func (a *Assignment) End(now time.Time, r Result) {
	if !a.started || !a.ended.CompareAndSwap(false, true) {
		return
	}

	a.server.running.Add(-1)

	if a.trial != nil {
		a.trial.trial.Store(false)
	}

	if !a.answerBegun && a.uncachedTokens > 0 {
		a.server.pendingTokens.Add(-int64(a.uncachedTokens))
		a.scheduler.publishBacklog(a.server, nil, true)
	}

	a.recordPath(now, r)

	switch r {
	case Served:
		a.server.recordOutcome(now, false)
		a.recordAnswer(now)
	case Failed:
		a.server.recordOutcome(now, true)
	case Unreachable:
		a.server.recordOutcome(now, true)
	case Terminated:
		a.server.recordOutcome(now, true)

		if !a.server.heardWithin(now, aliveTime) {
			a.scheduler.publishTerminated(now, a.server, true)
		}
	case Rejected:
		a.server.avoid(now.Add(fullAvoidance))
		a.scheduler.Counters.rejectedByBrittle(a.server.maxRejections(), a.permit != nil)
	case Cancelled:
	}

	a.reportEnd(now, r)
}

// recordPath records what a result shows of the path to the server.
func (a *Assignment) recordPath(now time.Time, r Result) {
	switch r {
	case Served, Rejected:
		a.Heard(now)
	case Unreachable, Terminated:
		a.scheduler.pathFailed(now, a.server, r == Terminated)
	case Failed, Cancelled:
	}
}
