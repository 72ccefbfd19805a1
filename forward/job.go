package forward

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/retry"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// job is the life of one request.
type job struct {
	forwarder   *Forwarder
	request     *Request
	rules       *ruleset.Ruleset
	route       *ruleset.Route
	account     *ruleset.Account
	service     fleet.Service
	fingerprint quarantine.Fingerprint
	deadline    time.Time

	// sent counts the servers that got the request.
	sent int
	// mayHaveRun is set once a server may have run it.
	mayHaveRun   bool
	usageCounted bool
	excluded     []fleet.InstanceID
	sentTo       []string
	stream       streamProgress
	// placed tells that a server was chosen before, and trial is what the attempt counts for.
	placed bool
	trial  trial
	// queued is how long it was queued back while servers were busy.
	queued time.Duration
	// lastFailure is the newest answer of a server that failed, kept in case no other is
	// better.
	lastFailure *bufferedResponse
}

// errRevoked means that the rules stopped being known as current, or changed so
// that the request is not allowed any more, while it waited.
var errRevoked = merry.Sentinel("rules no longer allow the request")

// errQuarantined means that servers have ended under the request while it waited.
var errQuarantined = merry.Sentinel("backend servers end under the request")

// errServerBlocked means that the server announced after it was picked that it takes no requests.
var errServerBlocked = merry.Sentinel("server takes no requests any more")

func (j *job) timeout() time.Duration {
	timeout := j.route.Timeout
	if j.request.Timeout > 0 && (timeout <= 0 || j.request.Timeout < timeout) {
		timeout = j.request.Timeout
	}

	if timeout <= 0 {
		timeout = defaultTimeout
	}

	return timeout
}

func (j *job) accountName() string {
	if j.account == nil {
		return ""
	}

	return string(j.account.Name)
}

// run tries backend servers until one answers. It returns nil if the sink has the
// whole answer.
func (f *Forwarder) run(ctx context.Context, j *job, sink Sink) *Refusal {
	limited, cancel := context.WithTimeout(ctx, j.deadline.Sub(f.Clock.Now())-answerMargin)
	defer cancel()

	for {
		err := f.attempt(limited, j, sink)
		if err == nil {
			f.Quarantine.RecordAnswer(f.Clock.Now(), j.fingerprint)

			return nil
		}

		if ctx.Err() != nil {
			return &Refusal{Reason: CallerGone, NotRun: !j.mayHaveRun}
		}

		if limited.Err() != nil {
			return &Refusal{Reason: TimedOut, NotRun: !j.mayHaveRun, Cause: err.Error()}
		}

		if !j.shouldRetry(err) {
			return j.finalAnswer(err, sink)
		}
	}
}

// cost returns what the request takes of the account's limit.
func (j *job) cost() float64 {
	if !j.account.InTokens {
		return 1
	}

	if tokens := j.request.Prompt.Tokens + j.request.Prompt.MaxOutputTokens; tokens > 0 {
		return float64(tokens)
	}

	return float64(j.account.DefaultTokens)
}

// shouldRetry decides whether another server is tried after an attempt that failed.
func (j *job) shouldRetry(err error) bool {
	if errors.Is(err, errRevoked) || errors.Is(err, scheduling.ErrNoServer) || errors.Is(err, errCallerWrite) ||
		errors.Is(err, errQuarantined) {
		return false
	}

	var (
		overload *scheduling.OverloadError
		noRoom   *scheduling.NoRoomError
	)
	if errors.As(err, &overload) || errors.As(err, &noRoom) {
		return false
	}

	if errors.Is(err, backend.ErrNotSent) {
		// A server that took no connection has run nothing. Another one is tried for as
		// long as there is one and the caller waits: entries of servers that ended
		// together stay in the register for seconds.
		return j.forwarder.Clock.Now().Before(j.abandonDeadline())
	}

	if j.sent >= j.route.Attempts() {
		return false
	}

	if j.mayHaveRun && !j.route.Idempotent() {
		return false
	}

	scope := retry.NewScope(j.service, "")

	return j.forwarder.Retries.Of(scope).Take(j.forwarder.Clock.Now())
}

// finalAnswer makes the final answer after the last attempt.
func (j *job) finalAnswer(err error, sink Sink) *Refusal {
	if j.lastFailure != nil && j.stream.events == 0 {
		if writeErr := sink.WriteResponse(j.lastFailure.status, j.lastFailure.header, j.lastFailure.body); writeErr == nil {
			return nil
		}

		return &Refusal{Reason: CallerGone}
	}

	var (
		overload *scheduling.OverloadError
		noRoom   *scheduling.NoRoomError
	)

	switch {
	case j.stream.begun:
		return &Refusal{Reason: StreamBroken, Cause: err.Error()}
	case j.mayHaveRun:
		return &Refusal{Reason: ResponseLost, Cause: err.Error()}
	case errors.Is(err, errRevoked):
		return &Refusal{Reason: StaleRules, NotRun: true, RetryAfter: unavailableRetryAfter, Cause: err.Error()}
	case errors.Is(err, errQuarantined):
		left, _ := j.forwarder.Quarantine.Quarantined(j.forwarder.Clock.Now(), j.fingerprint)

		return notRunRefusal(Quarantined, left)
	case errors.As(err, &overload):
		return &Refusal{Reason: Overloaded, NotRun: true, RetryAfter: overload.RetryAfter, Cause: err.Error()}
	case errors.As(err, &noRoom):
		return &Refusal{Reason: Overloaded, NotRun: true, RetryAfter: noRoom.RetryAfter, Cause: err.Error()}
	case errors.Is(err, scheduling.ErrNoServer):
		return &Refusal{Reason: NoServer, NotRun: true, RetryAfter: unavailableRetryAfter, Cause: err.Error()}
	default:
		return &Refusal{Reason: Overloaded, NotRun: true, RetryAfter: j.retryAfter(), Cause: err.Error()}
	}
}

// retryAfter returns when a caller that servers turned away should come back.
func (j *job) retryAfter() time.Duration {
	if wait, full := j.forwarder.Scheduler.RetryAfter(j.forwarder.Clock.Now(), j.service); full {
		return wait
	}

	return unavailableRetryAfter
}

// checkBeforeSend is asked right before the request leaves, after every wait.
func (j *job) checkBeforeSend(a *scheduling.Assignment) error {
	if a.Blocked(j.forwarder.Clock.Now()) {
		return errServerBlocked
	}

	if _, held := j.forwarder.Quarantine.Quarantined(j.forwarder.Clock.Now(), j.fingerprint); held {
		return errQuarantined
	}

	if j.account == nil {
		return nil
	}

	if !j.forwarder.Currency.Current() {
		return merry.Prepend(errRevoked, "not current")
	}

	rules := j.forwarder.Rules.Load()
	if rules == j.rules {
		return nil
	}

	if account, ok := rules.AccountOf(j.request.APIKey); !ok || account.Name != j.account.Name {
		return merry.Prepend(errRevoked, "key was taken away")
	}

	return nil
}

// priority ranks the request for an engine: the account first, then the route.
func (j *job) priority() int {
	rank := j.route.Priority
	if j.account != nil {
		rank = routePriorities*j.account.Priority + min(rank, routePriorities-1)
	}

	return min(max(rank, 0), maxPriority)
}

const (
	// holdTimeoutShare is the part of a request's time for which it may be held back once it
	// can't begin in time: the rest is for its stream, which takes some seconds in an
	// overload.
	holdTimeoutShare = 0.4
	// abandonObjectives is after how many objectives callers leave a stream that has shown
	// nothing, and leastGiveUp the least of it.
	abandonObjectives = 4
	minAbandonTimeout = 2 * time.Second
	// rateLimitTimeout is how long a request without an objective, or the rest of a stream, waits
	// for servers that limit their requests: callers leave a stream after two seconds.
	rateLimitTimeout = time.Second
)

// abandonDeadline returns until when the caller waits for the begin of an answer, or for the
// answer where none is expected sooner.
func (j *job) abandonDeadline() time.Time {
	if j.route.Objective <= 0 || j.stream.begun {
		return j.deadline
	}

	return j.request.Arrived.Add(max(abandonObjectives*j.route.Objective, minAbandonTimeout))
}

// schedulingRequest returns what the scheduler needs to know. A stream that has begun is not held.
func (j *job) schedulingRequest() scheduling.Request {
	choice := j.chooseVersion()
	r := scheduling.Request{
		Service: j.service, Prompt: j.request.Prompt, Excluded: j.excluded,
		OnlyVersion: choice.Only, VersionFraction: choice.ServerShare, AvoidVersions: choice.Avoid, Final: j.sent+1 >= j.route.Attempts(),
	}

	if j.route.Objective > 0 && !j.stream.begun {
		arrived := j.request.Arrived
		hold := time.Duration(holdTimeoutShare * float64(j.timeout()))
		r.Due, r.HoldUntil, r.CallerDeadline = arrived.Add(j.route.Objective), arrived.Add(hold), j.abandonDeadline()
	}

	r.WaitUntil = r.Due
	if r.Due.IsZero() {
		r.WaitUntil = j.forwarder.Clock.Now().Add(rateLimitTimeout)
	}

	return r
}

func (j *job) upstreamRequest(a *scheduling.Assignment) *upstream.Request {
	attempt := Attempt{
		Server:      a.ID(),
		Remaining:   j.deadline.Sub(j.forwarder.Clock.Now()),
		Priority:    j.priority(),
		ResumeAfter: j.request.ResumeAfter,
		Generative:  j.route.Generative,
	}

	if j.account != nil {
		attempt.Account = j.account.Name
	}

	if j.stream.lastEventID != "" {
		attempt.ResumeAfter = j.stream.lastEventID
	}

	m := j.forwarder.Protocol.Encode(j.request, attempt)
	m.RequireFresh = !j.route.Idempotent()
	m.BeforeSend = func() error { return j.checkBeforeSend(a) }

	return m
}
