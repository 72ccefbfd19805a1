// Package forward runs requests of forwarded routes: it finds the route and the client
// account, takes the cost of the request from the account's limit, places the request on
// a backend server and relays the server's response.
//
// A non-idempotent request is sent to another server only if the previous server reported
// that it did not run the request, or if no byte of it left this process. A resumable stream
// is resumed at another server after the last complete event that the caller has; the
// connection to the previous server is closed first.
//
// A Protocol defines the messages to and from backend servers. A Sink writes the response
// to the caller.
//
// # Usage
//
//	f := &forward.Forwarder{Rules: rules, Currency: tracker, Limits: limits, …}
//	outcome := f.Serve(ctx, request, sink)
package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"monsoonlever/buffer"
	"monsoonlever/clock"
	"monsoonlever/currency"
	"monsoonlever/fleet"
	"monsoonlever/quarantine"
	"monsoonlever/quota"
	"monsoonlever/ratelimit"
	"monsoonlever/retry"
	"monsoonlever/rollout"
	"monsoonlever/ruleset"
	"monsoonlever/scheduling"
	"monsoonlever/upstream"
)

// Protocol encodes requests to backend servers and decodes the headers of their responses.
type Protocol interface {
	// Encode returns the message of an attempt.
	Encode(r *Request, a Attempt) *upstream.Request
	// EncodeIdentityCheck returns a request with an ID to the health path of a server, and Identifies
	// reports whether the response to it is that of the server.
	EncodeIdentityCheck(s upstream.Server, id, path string) *upstream.Request
	Identifies(s upstream.Server, id string, status int, header http.Header) bool
	// Inspect decodes the status and header of a response.
	Inspect(status int, header http.Header) Reading
}

// Attempt holds what the message of an attempt contains in addition to the request.
type Attempt struct {
	Server  fleet.InstanceID
	Account fleet.Account
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	// Priority ranges from 0, the most urgent, to 9.
	Priority int
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
	// Generative is set for a route to model engines.
	Generative bool
}

// Reading is the decoded header of a backend server's response.
type Reading struct {
	// Signed is set if the response comes from the backend server itself, and not from a
	// proxy or another program at its address.
	Signed bool
	// NotRun is set if the server reports that it did not run the request.
	NotRun bool
	// Leaving is set if the server announces that it accepts no further requests.
	Leaving bool
	// Backoff is how long a server that rejected the request accepts no further requests
	// from this instance; zero if the server announces none.
	Backoff time.Duration
	// Load is the load of the server, or nil if it reports none.
	Load *scheduling.Load
	// Limit is the rate of requests that the server accepts from all instances together,
	// or nil if it announces none.
	Limit *ratelimit.Rate
	// MaxRejections is how many rejections a second the server bears before it falls over, zero
	// is any number. It is nil if the response does not tell.
	MaxRejections *int
}

// Usage counts the started requests of client accounts.
type Usage interface {
	RequestStarted(account fleet.Account)
}

// Limits enforces the rate limits of client accounts.
type Limits interface {
	// Take takes a charge from the limit of its account, if enough remains. It may request
	// more from other instances, which takes a few milliseconds.
	Take(ctx context.Context, charge quota.Charge) quota.Decision
}

// Forwarder runs the requests of one entry instance. Its exported fields are set
// before its first use.
type Forwarder struct {
	Clock clock.Clock
	// Rules holds nil until the first rules are read. Currency tells whether they are
	// confirmed as current.
	Rules    *atomic.Pointer[ruleset.Ruleset]
	Currency *currency.Tracker
	Limits   Limits
	// Retries limits the attempts after the first one, by service.
	Retries   *retry.Budgets
	Scheduler *scheduling.Scheduler
	Pool      *upstream.Pool
	Protocol  Protocol
	Usage     Usage
	Counters  *Counters
	// Quarantine records the requests that crash backend servers.
	Quarantine *quarantine.Ledger
	// Parts records the parts of prompts that crash backend servers; it may be nil.
	Parts *quarantine.Parts
	// Versions selects the server versions to which requests are sent, and Trials counts the
	// results while a new version is tried. Either may be nil.
	Versions *rollout.Gate
	Trials   *rollout.Counter
	// Detour has other instances serve requests that this one can't send to a server; nil if
	// there are none.
	Detour Detour
	// Origins remembers which server version began each stream; nil if versions don't differ.
	Origins Origins
	// MaxResponseBytes bounds the body of a response that is not a stream, and Buffers the memory of
	// all of them and of long events; nil is no bound.
	MaxResponseBytes int64
	Buffers          *buffer.Budget
	// Drain is the stop of this instance; nil if it never stops.
	Drain *Drain
	// Observe is called with each request and its outcome; it may be nil.
	Observe func(*Request, Outcome)

	// fullAt is when a request last found no free connection to a server, in Unix nanoseconds.
	fullAt atomic.Int64

	// terminationChecks holds the running checks for terminated servers, by server id.
	terminationChecks singleflight.Group
}

const (
	// DefaultTimeout bounds requests for which neither the caller nor the route sets a
	// timeout.
	DefaultTimeout = 30 * time.Second
	// refusalMargin is the part of a timeout that is reserved for writing a refusal to the
	// caller.
	refusalMargin = 20 * time.Millisecond
	// maxPriority is the least urgent priority that a model engine knows.
	maxPriority = 9
	// routePriorities is the number of route priorities within one priority of an account.
	routePriorities = 3
	// startupRetryAfter is the Retry-After of an instance that has no rules yet. It reads the
	// rules, and then the usage reported by other instances, in about a second.
	startupRetryAfter = time.Second
	// unavailableRetryAfter is the Retry-After for conditions of unknown duration, such as an
	// unreachable store or a service without servers.
	unavailableRetryAfter = 500 * time.Millisecond
)

// Serve runs a request and returns once its final answer, a backend server's response or a
// refusal, has been passed to the sink. ctx is cancelled when the caller disconnects.
func (f *Forwarder) Serve(ctx context.Context, r *Request, sink Sink) Outcome {
	j, refusal := f.prepare(ctx, r)
	if refusal == nil {
		refusal = f.run(ctx, j, sink)
	}

	outcome := Outcome{Reason: Answered, Duration: f.Clock.Now().Sub(r.Arrived)}
	if j != nil {
		outcome.Route, outcome.Account, outcome.Servers = j.route.Name, j.accountName(), j.sentTo
		outcome.Events, outcome.RulesVersion, outcome.Queued = j.stream.events, j.rules.Version(), j.queued
		outcome.Retries = j.retries
		outcome.Fingerprint, outcome.Versions = j.fingerprint, j.sentVersions
	}

	outcome.RulesAge, _ = f.Currency.Age()

	if refusal != nil {
		outcome.Reason, outcome.Cause, outcome.NotRun = refusal.Reason, refusal.Cause, refusal.NotRun
		sink.Refuse(*refusal)
	}

	if outcome.Reason == Answered {
		f.Drain.recordDuration(outcome.Route, outcome.Duration)
	}

	f.Counters.record(outcome)

	if f.Observe != nil {
		f.Observe(r, outcome)
	}

	return outcome
}

// prepare makes the checks that need no backend server: it finds the route, authorizes the
// API key, checks the quarantine and takes the cost from the account's limit.
func (f *Forwarder) prepare(ctx context.Context, r *Request) (*job, *Refusal) {
	rules := f.Rules.Load()
	if rules == nil {
		return nil, notRunRefusal(NoRules, startupRetryAfter)
	}

	route, ok := rules.Match(r.Host, r.Path)
	if !ok {
		if !f.Currency.Current() {
			// The route may have been added since the rules were read.
			return nil, notRunRefusal(StaleRules, unavailableRetryAfter)
		}

		return nil, &Refusal{Reason: NoRoute, NotRun: true}
	}

	j := &job{forwarder: f, request: r, route: route, rules: rules}
	j.deadline = r.Arrived.Add(j.timeout())

	if !f.Drain.allows(f.Clock.Now(), route.Name) {
		return j, notRunRefusal(Stopping, drainRetryAfter)
	}

	if refusal := f.authorize(j); refusal != nil {
		return j, refusal
	}

	ctx, cancel := f.untilDeadline(ctx, j)
	defer cancel()

	j.identify()

	if refusal := f.checkQuarantine(j); refusal != nil {
		return j, refusal
	}

	j.service = route.PickService(rand.Float64())

	if refusal := f.bindVersion(ctx, j); refusal != nil {
		return j, refusal
	}

	j.parts = j.partKeys()

	if refusal := f.checkParts(j); refusal != nil {
		return j, refusal
	}

	f.retryBudget(j.service).CountRequest(f.Clock.Now())

	return j, f.takeLimit(ctx, j)
}

// authorize sets the client account of a request from its API key, if the route requires one.
func (f *Forwarder) authorize(j *job) *Refusal {
	if !j.rules.RequiresKey() || j.route.Public {
		return nil
	}

	if !f.Currency.Current() {
		return notRunRefusal(StaleRules, unavailableRetryAfter)
	}

	account, ok := j.rules.AccountByKey(j.request.APIKey)
	if !ok {
		return &Refusal{Reason: Unauthorized, NotRun: true}
	}

	j.account = account

	return nil
}

// checkQuarantine refuses a quarantined request, with the end of the quarantine as its
// Retry-After.
func (f *Forwarder) checkQuarantine(j *job) *Refusal {
	if left, quarantined := f.Quarantine.Quarantined(f.Clock.Now(), j.fingerprint); quarantined {
		return notRunRefusal(Quarantined, left)
	}

	return nil
}

// takeLimit takes the cost of the request from the account's limit, or refuses the request.
func (f *Forwarder) takeLimit(ctx context.Context, j *job) *Refusal {
	if j.account == nil || j.account.Rate <= 0 {
		return nil
	}

	decision := f.Limits.Take(ctx, quota.Charge{
		Account: j.account.Name, Cost: j.cost(), Priority: j.route.Priority, Continues: j.resumed,
	})
	if decision.Granted {
		return nil
	}

	return &Refusal{Reason: OverLimit, NotRun: true, RetryAfter: decision.RetryAfter, Cause: limitCause(j, decision)}
}

// limitCause states what decided the refusal of a request over its account's limit.
func limitCause(j *job, decision quota.Decision) string {
	if decision.Paced {
		return fmt.Sprintf("cost %.0f, priority %d, paced by %s for %v", j.cost(), j.route.Priority, decision.Lender, decision.RetryAfter)
	}

	if decision.Remaining == 0 && decision.Share == 0 {
		// The instance holds no share of the limit, or nothing is left of it.
		return fmt.Sprintf("cost %.0f, priority %d, no lender granted it", j.cost(), j.route.Priority)
	}

	return fmt.Sprintf("cost %.0f, part %.0f of %.0f left", j.cost(), decision.Share, decision.Remaining)
}
