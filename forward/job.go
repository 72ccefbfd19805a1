package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// job is the state of one request over all its attempts.
type job struct {
	forwarder   *Forwarder
	request     *Request
	rules       *ruleset.Ruleset
	route       *ruleset.Route
	account     *ruleset.Account
	service     fleet.Service
	fingerprint quarantine.Fingerprint
	// parts are the parts of the prompt that other requests may share.
	parts    []quarantine.PartKey
	deadline time.Time

	// sent counts the attempts in which bytes of the request may have reached a server.
	sent int
	// retries counts the attempts that the budget of retries granted, and grant is the one that was not
	// sent yet.
	retries int
	grant   retryGrant
	// mayHaveRun is set once a server may have run the request.
	mayHaveRun bool
	// usageCounted is set once the request is counted in the usage of its client account.
	usageCounted bool
	// excluded are the servers that were picked before and must not be picked again.
	excluded []fleet.InstanceID
	// sentTo are the servers of the attempts that sent counts.
	sentTo []string
	// sentVersions are the versions of those servers.
	sentVersions []fleet.Version
	stream       streamProgress
	// placed is set once a server was picked for the request.
	placed bool
	// trial measures the current attempt for the trial of a new version.
	trial trial
	// detoured is set if another instance received the request from its caller, and maxAttempts is
	// then the number of servers to which it may be sent. resumed is set if the caller has a part of
	// the response from elsewhere.
	detoured    bool
	maxAttempts int
	resumed     bool
	// version is the version of the server that began the stream, at which alone it may go on;
	// empty while there is none.
	version fleet.Version
	// silent is set once nothing responded to a dial, or a server to the request. noHelper is set
	// once no other instance was found to serve the request.
	silent   bool
	noHelper bool
	// fullServers counts the servers to which this instance may open no further connection, and
	// fullDetours the requests to other instances for that reason.
	fullServers, fullDetours int
	// queued is how long the request waited for the scheduler to place it.
	queued time.Duration
	// lossChecks are closed once it is known whether a server that lost the request before the first event
	// of its answer has crashed.
	lossChecks []<-chan struct{}
	// lastFailure is the latest response of status 500 or above. The caller gets it if all
	// further attempts fail.
	lastFailure *bufferedResponse
}

// errRevoked means that, while the request waited, the rules could no longer be confirmed as
// current, or changed so that they no longer allow the request.
var errRevoked = merry.Sentinel("rules no longer allow the request")

// errQuarantined means that the request was quarantined while it waited.
var errQuarantined = merry.Sentinel("backend servers crashed while serving the request")

// errServerBlocked means that the server announced after it was picked that it accepts no
// requests.
var errServerBlocked = merry.Sentinel("server no longer accepts requests")

// timeout returns the shorter of the caller's and the route's timeout, or the default.
func (j *job) timeout() time.Duration {
	timeout := j.route.Timeout
	if j.request.Timeout > 0 && (timeout <= 0 || j.request.Timeout < timeout) {
		timeout = j.request.Timeout
	}

	if timeout <= 0 {
		timeout = DefaultTimeout
	}

	return timeout
}

func (j *job) accountName() string {
	if j.account == nil {
		return ""
	}

	return string(j.account.Name)
}

// run sends the request to one backend server after another until one responds or no further
// attempt is allowed. It returns nil if the sink has the complete response.
func (f *Forwarder) run(ctx context.Context, j *job, sink Sink) *Refusal {
	limited, cancel := f.untilDeadline(ctx, j)
	defer cancel()

	defer func() { j.lastFailure.release() }()

	for {
		err := f.attempt(limited, j, sink)
		if err == nil {
			f.Quarantine.RecordAnswer(f.Clock.Now(), j.fingerprint)

			return nil
		}

		if ctx.Err() != nil {
			return &Refusal{Reason: CallerGone, NotRun: !j.mayHaveRun}
		}

		if f.Drain.aborted() {
			return j.stopRefusal(err)
		}

		if limited.Err() != nil {
			return &Refusal{Reason: TimedOut, NotRun: !j.mayHaveRun, Cause: err.Error()}
		}

		if !j.shouldRetry(err) {
			// The caller may send the request again as soon as it has an answer.
			j.awaitLossChecks(limited)

			return j.finalAnswer(err, sink)
		}

		if len(j.lossChecks) > 1 || j.suspected() {
			j.awaitLossChecks(limited)
		}
	}
}

// untilDeadline returns a context that ends shortly before the deadline of the request, or when this
// instance aborts its requests.
func (f *Forwarder) untilDeadline(ctx context.Context, j *job) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithTimeout(ctx, j.deadline.Sub(f.Clock.Now())-refusalMargin)
	stop := f.Drain.abortWith(cancel)

	return limited, func() {
		stop()
		cancel()
	}
}

// stopRefusal returns the refusal of a request that ended with err since this instance stops.
func (j *job) stopRefusal(err error) *Refusal {
	refusal := &Refusal{Reason: Stopping, NotRun: !j.mayHaveRun, Cause: err.Error()}
	if refusal.NotRun {
		refusal.RetryAfter = drainRetryAfter
	}

	return refusal
}

// identify sets the fingerprint of the request's content, once its account is known.
func (j *job) identify() {
	r := j.request
	j.fingerprint = quarantine.FingerprintOf(fleet.Account(j.accountName()), r.Method, r.Host, r.Target, r.Body)
}

// cost returns the cost of the request, in tokens or requests as the account's limit.
func (j *job) cost() float64 {
	if !j.account.InTokens {
		return 1
	}

	if tokens := j.request.Prompt.Tokens + j.request.Prompt.MaxOutputTokens; tokens > 0 {
		return float64(tokens)
	}

	return float64(j.account.DefaultTokens)
}

// shouldRetry reports whether another server is tried after an attempt failed with err.
func (j *job) shouldRetry(err error) bool {
	if errors.Is(err, errRevoked) || errors.Is(err, scheduling.ErrNoServer) || errors.Is(err, errCallerWrite) ||
		errors.Is(err, errQuarantined) || errors.Is(err, errRetryBudget) {
		return false
	}

	var (
		overload *scheduling.OverloadError
		noRoom   *scheduling.NoRoomError
		detour   *detourError
	)
	if errors.As(err, &overload) || errors.As(err, &noRoom) || errors.As(err, &detour) {
		return false
	}

	if errors.Is(err, backend.ErrNotSent) {
		// A server that accepted no connection has run nothing. Other servers are tried
		// while there are any and the caller still waits, without a limit on their number:
		// the entries of servers that crashed together stay in the register for seconds.
		return j.forwarder.Clock.Now().Before(j.abandonDeadline())
	}

	if j.sent >= j.attempts() {
		return false
	}

	if j.mayHaveRun && !j.route.Idempotent() {
		return false
	}

	if !j.forwarder.takeRetry(j.service) {
		return false
	}

	j.retries++
	j.grant = retryGrant{at: j.forwarder.Clock.Now()}

	return true
}

// finalAnswer returns the refusal after the last attempt failed with err. It returns nil if
// it wrote the last failed response to the sink instead.
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
		detour   *detourError
	)

	switch {
	case j.stream.begun:
		return &Refusal{Reason: StreamBroken, Cause: err.Error()}
	case errors.As(err, &detour):
		return j.detourRefusal(detour.refusal)
	case j.mayHaveRun:
		return &Refusal{Reason: ResponseLost, Cause: err.Error()}
	case errors.Is(err, errRevoked):
		return &Refusal{Reason: StaleRules, NotRun: true, RetryAfter: unavailableRetryAfter, Cause: err.Error()}
	case errors.Is(err, errQuarantined):
		if refusal := j.forwarder.checkHarmful(j); refusal != nil {
			return refusal
		}

		return notRunRefusal(Quarantined, 0)
	case errors.As(err, &overload):
		return &Refusal{Reason: Overloaded, NotRun: true, RetryAfter: overload.RetryAfter, Cause: err.Error()}
	case errors.As(err, &noRoom):
		return &Refusal{Reason: Overloaded, NotRun: true, RetryAfter: noRoom.RetryAfter, Cause: err.Error()}
	case errors.Is(err, scheduling.ErrNoServer):
		return &Refusal{
			Reason: NoServer, NotRun: true, RetryAfter: unavailableRetryAfter + rand.N(unavailableRetryAfter), Cause: j.noServerCause(err),
		}
	default:
		return &Refusal{Reason: Overloaded, NotRun: true, RetryAfter: j.retryAfter(), Cause: err.Error()}
	}
}

// noServerCause names the version that a stream is bound to.
func (j *job) noServerCause(err error) string {
	if j.bound() {
		return err.Error() + ", of version " + string(j.version)
	}

	return err.Error()
}

// retryAfter returns the Retry-After of a request that the backend servers rejected.
func (j *job) retryAfter() time.Duration {
	if wait, full := j.forwarder.Scheduler.RetryAfter(j.forwarder.Clock.Now(), j.service); full {
		return wait
	}

	return unavailableRetryAfter
}

// checkBeforeSend returns an error if the request must not be sent to the picked server. It
// runs right before the first byte is sent, since the server's announcements, the quarantine
// and the rules may have changed while the request waited for a place or a connection.
func (j *job) checkBeforeSend(a *scheduling.Assignment) error {
	if a.Blocked(j.forwarder.Clock.Now()) {
		return errServerBlocked
	}

	if j.forwarder.checkHarmful(j) != nil {
		return errQuarantined
	}

	if err := j.checkRules(); err != nil {
		return err
	}

	if err := j.renewRetry(); err != nil {
		return err
	}

	j.grant = retryGrant{}

	return nil
}

// checkRules returns an error if the rules no longer allow the request, or can't be confirmed as current.
func (j *job) checkRules() error {
	if j.account == nil {
		return nil
	}

	if !j.forwarder.Currency.Current() {
		return merry.Prepend(errRevoked, "rules are not current")
	}

	rules := j.forwarder.Rules.Load()
	if rules == j.rules {
		return nil
	}

	if account, ok := rules.AccountByKey(j.request.APIKey); !ok || account.Name != j.account.Name {
		return merry.Prepend(errRevoked, "API key was revoked")
	}

	return nil
}

// priority returns the priority of the request for a model engine. Requests are ranked by the
// priority of their account first, then by that of their route.
func (j *job) priority() int {
	rank := j.route.Priority
	if j.account != nil {
		rank = routePriorities*j.account.Priority + min(rank, routePriorities-1)
	}

	return min(max(rank, 0), maxPriority)
}

const (
	// holdTimeoutShare is the share of a request's timeout for which it may be queued once it
	// can't meet its objective. The rest is reserved for its stream, which takes some
	// seconds under overload.
	holdTimeoutShare = 0.4
	// abandonObjectives is the number of objectives after which callers abandon a stream
	// without any event, and minAbandonTimeout the lower bound of that time.
	abandonObjectives = 4
	minAbandonTimeout = 2 * time.Second
	// rateLimitTimeout is how long a request without an objective, or the rest of a stream,
	// waits for servers that limit their request rate. Callers abandon a stream after two
	// seconds.
	rateLimitTimeout = time.Second
)

// abandonDeadline returns until when the caller waits for the first event of a stream, or the
// deadline of a request that has no objective or whose stream has begun.
func (j *job) abandonDeadline() time.Time {
	if j.route.Objective <= 0 || j.streamBegun() {
		return j.deadline
	}

	return j.request.Arrived.Add(max(abandonObjectives*j.route.Objective, minAbandonTimeout))
}

// schedulingRequest returns the scheduler's view of the next attempt. The rest of a stream that
// has begun is not queued.
func (j *job) schedulingRequest() scheduling.Request {
	choice := j.chooseVersion()
	r := scheduling.Request{
		Service: j.service, Prompt: j.request.Prompt, Excluded: j.excluded,
		GapObjective: j.route.GapObjective,
		Detour:       j.detourPossible(),
		OnlyVersion:  choice.Only, VersionFraction: choice.ServerShare, AvoidVersions: choice.Avoid, Final: j.sent+1 >= j.attempts(),
	}

	if j.route.Objective > 0 && !j.streamBegun() {
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

// upstreamRequest returns the message of an attempt. A non-idempotent request requires a fresh
// connection.
func (j *job) upstreamRequest(a *scheduling.Assignment) *upstream.Request {
	attempt := Attempt{
		Server:      a.ID(),
		Remaining:   j.deadline.Sub(j.forwarder.Clock.Now()),
		Priority:    j.priority(),
		ResumeAfter: j.resumeAfter(),
		Generative:  j.route.Generative,
	}

	if j.account != nil {
		attempt.Account = j.account.Name
	}

	m := j.forwarder.Protocol.Encode(j.request, attempt)
	m.RequireFresh = !j.route.Idempotent()
	// A stream is not interrupted: its server would work on beside the next one.
	m.Repeatable = j.route.Kind == ruleset.Safe
	m.BeforeSend = func() error { return j.checkBeforeSend(a) }

	return m
}
