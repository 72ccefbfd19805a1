package forward

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"monsoonlever/backend"
	"monsoonlever/fleet"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// ErrNoHelper means that no other instance serves a request.
var ErrNoHelper = merry.Sentinel("no other instance serves the request")

// Detour has other instances serve requests for which this instance has no network path to a
// backend server.
type Detour interface {
	// Available reports whether an instance may reach a service.
	Available(service fleet.Service) bool
	// Serve has another instance serve a request and passes its response to the sink, but no
	// refusal. The error wraps ErrNoHelper if no instance takes the request, so that it has not
	// run, and upstream.ErrGarbled if the other instance may have run it and closed the
	// connection, so that it works on it no longer. After any other error it may still run.
	Serve(ctx context.Context, r DetourRequest, sink Sink) (DetourResult, error)
}

// DetourRequest is a request that another instance serves.
type DetourRequest struct {
	Request *Request
	Service fleet.Service
	// RulesVersion is the version of the rules under which the request was accepted.
	RulesVersion uint64
	// Attempts is the number of backend servers to which the request may still be sent. The instance that
	// serves it sends it to one of them: if it is lost, nobody knows to how many it sent the request.
	Attempts int
	// StreamBegun is set if the caller has a part of the response.
	StreamBegun bool
	// Version is the server version that a stream is bound to, or empty.
	Version fleet.Version
	// UsageCounted is set if the request was counted in the usage of its client account.
	UsageCounted bool
	// BeforeConfirm is called when an instance is ready to serve the request, before it may send it. If
	// it returns an error, the request is not served there; it may be nil.
	BeforeConfirm func() error
}

// DetourResult is how a request ended at another instance.
type DetourResult struct {
	// Refusal is nil if the sink has a response of a backend server.
	Refusal *Refusal
	// Servers are the backend servers to which the request was sent.
	Servers                  []string
	MayHaveRun, UsageCounted bool
}

// detourError is a refusal by another instance that is final.
type detourError struct {
	refusal Refusal
}

// Error includes the reason.
func (e *detourError) Error() string {
	return "another instance refused the request: " + e.refusal.Reason.String() + " " + e.refusal.Cause
}

const (
	// maxFullServers is the number of servers without a free connection after which a request goes
	// to another instance: the next server would probably have none either.
	maxFullServers = 2
	// maxFullDetours bounds how often a request goes to other instances for lack of connections. They
	// may lack them too.
	maxFullDetours = 2
	// fullTTL is how long an instance wants helpers after it lacked a connection.
	fullTTL = 5 * time.Second
)

// detourPossible reports whether another instance may serve the request, since this one fails to
// reach servers or has no free connection to them.
func (j *job) detourPossible() bool {
	f := j.forwarder
	if f.Detour == nil || j.detoured || j.noHelper {
		return false
	}

	lacksConnections := j.fullServers > 0 && j.fullDetours < maxFullDetours

	return (lacksConnections || f.Scheduler.PathsFailing(f.Clock.Now())) && f.Detour.Available(j.service)
}

// prefersDetour reports whether nothing has responded to a dial of this request, or to the request,
// or whether servers had no free connection. The next server would probably be the same.
func (j *job) prefersDetour() bool {
	return (j.silent || j.fullServers >= maxFullServers) && j.detourPossible()
}

// LacksConnections reports whether requests have lately found no free connection to servers. Other
// instances hold the rest of the servers' connections.
func (f *Forwarder) LacksConnections() bool {
	at := f.fullAt.Load()

	return at != 0 && f.Clock.Now().Sub(time.Unix(0, at)) < fullTTL
}

// detour has another instance serve the request.
func (f *Forwarder) detour(ctx context.Context, j *job, sink Sink) error {
	if j.fullServers > 0 {
		j.fullDetours++
	}

	request := *j.request
	request.ResumeAfter = j.resumeAfter()

	helped := &detourSink{Sink: sink, job: j}

	result, err := f.Detour.Serve(ctx, DetourRequest{
		Request: &request, Service: j.service, RulesVersion: j.rules.Version(),
		Attempts: max(j.attempts()-j.sent, 1), StreamBegun: j.streamBegun(), UsageCounted: j.usageCounted, Version: j.version,
		BeforeConfirm: j.renewRetry,
	}, helped)

	if errors.Is(err, errRetryBudget) {
		return merry.Prepend(backend.ErrNotSent, "detour", merry.WithCause(err))
	}

	if errors.Is(err, ErrNoHelper) {
		j.noHelper = true

		return merry.Prepend(backend.ErrNotSent, "detour", merry.WithCause(err))
	}

	if err != nil || len(result.Servers) > 0 {
		j.grant = retryGrant{}
	}

	j.sentTo = append(j.sentTo, result.Servers...)
	j.mayHaveRun = j.mayHaveRun || result.MayHaveRun
	j.usageCounted = j.usageCounted || result.UsageCounted

	if err != nil {
		j.sent++
		j.mayHaveRun = true

		if ctx.Err() == nil && !errors.Is(err, upstream.ErrGarbled) && j.route.Kind != ruleset.Safe {
			// The other instance may still work on the request.
			return &detourError{refusal: Refusal{Reason: j.lossReason(), Cause: err.Error()}}
		}

		return err
	}

	j.sent += len(result.Servers)

	switch {
	case result.Refusal != nil:
		return j.detourFailure(*result.Refusal, len(result.Servers) > 0)
	case helped.failed:
		return merry.Prependf(errServerFailed, "detour: status %d", j.lastFailure.status)
	default:
		return nil
	}
}

// detourFailure returns the error for a refusal by another instance, which had sent the request to a server
// if sent is set. The refusal is final unless another server may serve the request.
func (j *job) detourFailure(refusal Refusal, sent bool) error {
	switch {
	case refusal.NotRun && sent && (refusal.Reason == NoServer || refusal.Reason == Overloaded):
		return merry.Prepend(backend.ErrRefused, "detour: "+refusal.Cause)
	case refusal.NotRun && refusal.Reason == NoServer:
		return merry.Prepend(backend.ErrNotSent, "detour: "+refusal.Cause)
	case sent && j.route.Idempotent() && (refusal.Reason == ResponseLost || refusal.Reason == StreamBroken):
		return merry.Prepend(upstream.ErrGarbled, "detour: "+refusal.Cause)
	default:
		return &detourError{refusal: refusal}
	}
}

// detourRefusal returns the refusal for a request that another instance refused. The promise that
// it has not run holds only if no attempt before may have.
func (j *job) detourRefusal(refusal Refusal) *Refusal {
	refusal.NotRun = refusal.NotRun && !j.mayHaveRun
	if !refusal.NotRun && refusal.Reason != TimedOut {
		refusal.Reason, refusal.RetryAfter = ResponseLost, 0
	}

	return &refusal
}

// lossReason is the reason for a request whose result is unknown.
func (j *job) lossReason() Reason {
	if j.stream.begun {
		return StreamBroken
	}

	return ResponseLost
}

// detourSink records the progress of a stream that another instance relays.
type detourSink struct {
	Sink

	job *job
	// failed is set if the response is a failure, which the caller gets if no other server may serve the
	// request.
	failed bool
}

// StreamVersion binds the stream to the version that began it.
func (s *detourSink) StreamVersion(version fleet.Version) {
	if !s.job.bound() {
		s.job.version = version
	}

	s.Sink.StreamVersion(version)
}

// BeginStream writes the header unless the caller has it from an earlier attempt.
func (s *detourSink) BeginStream(status int, header http.Header) error {
	if s.job.stream.begun {
		return nil
	}

	if err := s.Sink.BeginStream(status, header); err != nil {
		return merry.Prepend(errCallerWrite, "write header", merry.WithCause(err))
	}

	s.job.stream.begun, s.job.mayHaveRun = true, true

	return nil
}

// WriteEvent writes one event.
func (s *detourSink) WriteEvent(event []byte) error {
	if err := s.job.stream.accept(eventID(event)); err != nil {
		return err
	}

	if err := s.Sink.WriteEvent(event); err != nil {
		return merry.Prepend(errCallerWrite, "write event", merry.WithCause(err))
	}

	return nil
}

// WriteResponse writes a whole response.
func (s *detourSink) WriteResponse(status int, header http.Header, body []byte) error {
	if s.job.stream.begun {
		return merry.Prependf(errServerFailed, "status %d instead of the rest of a stream", status)
	}

	if status >= http.StatusInternalServerError {
		s.failed = true
		s.job.lastFailure.release()
		s.job.lastFailure = &bufferedResponse{status: status, header: header, body: body, memory: s.job.forwarder.Buffers.Reserve()}

		return nil
	}

	if err := s.Sink.WriteResponse(status, header, body); err != nil {
		return merry.Prepend(errCallerWrite, "write response", merry.WithCause(err))
	}

	return nil
}

// eventID returns the id of an event, or an empty text.
func eventID(event []byte) string {
	id := ""

	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(value))
		}
	}

	return id
}

// PrepareDetour checks a request of another instance, which has found its route and taken its
// cost from the account's limit. It returns the function that runs the request. A refusal means
// that this instance does not serve it; another one may.
func (f *Forwarder) PrepareDetour(ctx context.Context, r DetourRequest) (func(context.Context, Sink) DetourResult, *Refusal) {
	rules := f.Rules.Load()
	if rules == nil || rules.Version() < r.RulesVersion {
		return nil, notRunRefusal(NoRules, startupRetryAfter)
	}

	route, ok := rules.Match(r.Request.Host, r.Request.Path)
	if !ok {
		return nil, &Refusal{Reason: NoRoute, NotRun: true}
	}

	j := &job{forwarder: f, request: r.Request, route: route, rules: rules, service: r.Service, detoured: true, maxAttempts: 1}
	j.deadline = r.Request.Arrived.Add(j.timeout())
	j.usageCounted, j.resumed, j.version = r.UsageCounted, r.StreamBegun, r.Version

	if r.Attempts < route.Attempts() {
		// The other instance has sent the request before, and this one sends it again.
		j.grant = retryGrant{at: f.Clock.Now(), elsewhere: true}
	}

	if route.Kind == ruleset.Streaming && r.Request.resumes() && !j.bound() {
		return nil, notRunRefusal(UnknownStream, unavailableRetryAfter)
	}

	if !route.HasTarget(r.Service) {
		// The route was moved to another service since the other instance read the rules.
		return nil, notRunRefusal(NoRules, unavailableRetryAfter)
	}

	if refusal := f.authorize(j); refusal != nil {
		return nil, refusal
	}

	j.identify()
	j.parts = j.partKeys()

	if refusal := f.checkHarmful(j); refusal != nil {
		return nil, refusal
	}

	if !f.hasPath(ctx, r.Service) {
		return nil, notRunRefusal(NoServer, unavailableRetryAfter)
	}

	if !f.hasConnection(r.Service) {
		refusal := notRunRefusal(Overloaded, unavailableRetryAfter)
		refusal.Cause = upstream.ErrConnectionLimit.Error()

		return nil, refusal
	}

	return func(ctx context.Context, sink Sink) DetourResult { return f.runDetour(ctx, j, sink) }, nil
}

const (
	// heardRecently is the time within which something received from a server shows that there
	// is a path to its service.
	heardRecently = 500 * time.Millisecond
	// pathCheckTimeout bounds the dial that shows it otherwise. The other instance waits for it.
	pathCheckTimeout = 100 * time.Millisecond
)

// hasPath reports whether this instance has a path to a server of a service. Where nothing was
// heard of the service for a while, as after a cut that nobody has noticed, it opens a connection.
func (f *Forwarder) hasPath(ctx context.Context, service fleet.Service) bool {
	now := f.Clock.Now()
	paths := slices.DeleteFunc(f.Scheduler.Paths(now)[service], func(path scheduling.Path) bool { return path.Lost })

	if len(paths) == 0 {
		return false
	}

	latest := slices.MaxFunc(paths, func(a, b scheduling.Path) int { return a.HeardAt.Compare(b.HeardAt) })
	if now.Sub(latest.HeardAt) < heardRecently {
		return true
	}

	checkCtx, cancel := context.WithTimeout(ctx, pathCheckTimeout)
	defer cancel()

	err := f.Pool.Connect(checkCtx, upstream.Server{ID: latest.ID, Address: latest.Address})

	// At the limit all connections carry requests, none of which shows that they are lost.
	return err == nil || errors.Is(err, upstream.ErrConnectionLimit)
}

// hasConnection reports whether this instance has or may open a connection to a server of a service
// that it reaches. It has no more than its part of them.
func (f *Forwarder) hasConnection(service fleet.Service) bool {
	return slices.ContainsFunc(f.Scheduler.Paths(f.Clock.Now())[service], func(path scheduling.Path) bool {
		return !path.Lost && f.Pool.HasRoom(path.ID)
	})
}

// runDetour runs a request of another instance.
func (f *Forwarder) runDetour(ctx context.Context, j *job, sink Sink) DetourResult {
	counted := j.usageCounted
	refusal := f.run(ctx, j, sink)
	f.Counters.recordDetour(refusal)

	return DetourResult{
		Refusal: refusal, Servers: j.sentTo, MayHaveRun: j.mayHaveRun, UsageCounted: j.usageCounted && !counted,
	}
}

// attempts returns the number of backend servers to which the request may be sent.
func (j *job) attempts() int {
	if j.maxAttempts > 0 {
		return min(j.maxAttempts, j.route.Attempts())
	}

	return j.route.Attempts()
}

// streamBegun reports whether the caller has a part of the response.
func (j *job) streamBegun() bool { return j.stream.begun || j.resumed }

// resumeAfter returns the id of the last event that the caller has, or an empty text.
func (j *job) resumeAfter() string {
	if j.stream.lastEventID != "" {
		return j.stream.lastEventID
	}

	return j.request.ResumeAfter
}
