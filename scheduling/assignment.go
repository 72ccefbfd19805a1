package scheduling

import (
	"sync/atomic"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/register"
)

// Result says how an attempt ended.
type Result int

// The results.
const (
	// Served attempts were answered, with whatever status.
	Served Result = iota
	// Failed attempts got no answer, or one that is no answer.
	Failed
	// Unreachable servers took no connection.
	Unreachable
	// Terminated servers refused a connection: their machine answers and their program has ended.
	Terminated
	// Turned away attempts were not run, because the server had no room.
	Rejected
	// Cancelled attempts say nothing of the server.
	Cancelled
)

const (
	// unreachableAvoidance keeps requests off a server that takes no connection, for
	// about as long as a lost one stays in the register.
	unreachableAvoidance = 1500 * time.Millisecond
	// fullAvoidance lets a full server work off its queue.
	fullAvoidance = 250 * time.Millisecond
)

// Assignment is one attempt at a server. One goroutine uses it.
type Assignment struct {
	server    *server
	scheduler *Scheduler
	prompt    Prompt
	// keys are those of the prompt's parts.
	keys           []Key
	uncachedTokens int
	// backlog are the tokens that waited at the server when it was picked.
	backlog int64
	// meter is nil for requests without a prompt.
	meter *meter

	// trial is the backoff whose end this attempt shows, or nil.
	trial *backoff

	startedAt   time.Time
	started     bool
	answerBegun bool
	ended       atomic.Bool
}

// ID returns the server's instance.
func (a *Assignment) ID() fleet.InstanceID { return a.server.entry().ID }

// Version returns the version of the server's program.
func (a *Assignment) Version() fleet.Version { return a.server.entry().Version }

// Address returns the server's address.
func (a *Assignment) Address() string { return a.server.entry().Address }

// Blocked reports whether the server takes no requests now, by what it announced since it was
// picked.
func (a *Assignment) Blocked(now time.Time) bool {
	return a.server.isLeaving() || a.server.announcements.inBackoff(now)
}

// Leaving tells whether the server is known to leave by now.
func (a *Assignment) Leaving() bool { return a.server.isLeaving() }

// ReportTerminated takes in that the server's program was found to have ended, and has others told.
func (a *Assignment) ReportTerminated(now time.Time) {
	a.scheduler.publishTerminated(now, a.server, true)
}

// KnownTerminated reports whether the server's program was found to have ended a moment ago.
func (a *Assignment) KnownTerminated(now time.Time) bool { return a.server.isTerminated(now) }

// Server returns the start of the server that the attempt is at.
func (a *Assignment) Server() register.Process { return a.server.entry().Process() }

// AnswerBegun tells whether the first event has come.
func (a *Assignment) AnswerBegun() bool { return a.answerBegun }

// Start counts the attempt, unless the server takes no requests by now.
func (a *Assignment) Start(now time.Time) bool {
	b := a.server.announcements.backoff.Load()
	if a.server.isLeaving() || !b.begin(now) {
		return false
	}

	a.trial = b

	a.scheduler.countSend(now, a.server)
	a.server.running.Add(1)
	a.server.pendingTokens.Add(int64(a.uncachedTokens))
	a.started, a.startedAt = true, now

	if a.uncachedTokens > 0 {
		// The common part is read before what comes after this request.
		a.scheduler.publishBacklog(a.server, nil, true)
		a.scheduler.publishSegments(now, a.server, a.keys[:max(len(a.keys)-1, 0)], true)
	}

	if a.meter != nil {
		a.meter.addArrival(now, a.prompt.ownTokens())
	}

	return true
}

// FirstEventReceived takes in that the server has read the prompt.
func (a *Assignment) FirstEventReceived(now time.Time) {
	if !a.started || a.answerBegun {
		return
	}

	a.answerBegun = true
	a.server.pendingTokens.Add(-int64(a.uncachedTokens))

	if a.uncachedTokens > 0 {
		a.scheduler.publishBacklog(a.server, nil, true)
		a.scheduler.publishSegments(now, a.server, a.keys, true)
	}

	if a.meter != nil {
		a.meter.recordSpeed(a.prompt.ownTokens(), now.Sub(a.startedAt))
		a.meter.recordReadRate(a.backlog+int64(a.uncachedTokens), now.Sub(a.startedAt))
	}
}

// End ends the attempt. Only its first call counts.
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

	switch r {
	case Served:
		a.server.recordOutcome(now, false)
	case Failed:
		a.server.recordOutcome(now, true)
	case Unreachable:
		a.server.recordOutcome(now, true)
		a.server.avoid(now.Add(unreachableAvoidance))
	case Terminated:
		a.server.recordOutcome(now, true)
		a.scheduler.publishTerminated(now, a.server, true)
	case Rejected:
		a.server.avoid(now.Add(fullAvoidance))
	case Cancelled:
	}
}
