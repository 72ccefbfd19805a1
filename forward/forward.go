// Package forward runs requests of forwarded routes: it finds the route and the
// client account, spends the account's limit, places the request on a backend
// server and relays its answer.
//
// A request that may not be repeated is given to another server only if the one
// before said that it did not run it, or if no byte of it left this process. A
// stream that may be resumed goes on at another server after the last whole event
// that the caller has; the connection to the server before is closed first.
//
// What is written on the wire is the business of a Protocol, and how an answer
// reaches the caller that of a Sink.
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

// Protocol translates between attempts and messages of backend servers.
type Protocol interface {
	// Encode makes the message of an attempt.
	Encode(r *Request, a Attempt) *upstream.Request
	// Inspect tells what an answer means.
	Inspect(status int, header http.Header) Reading
}

// Attempt is what the message of an attempt says beside the request.
type Attempt struct {
	Server  fleet.InstanceID
	Account fleet.Account
	// Remaining is the time until the answer is of no use.
	Remaining time.Duration
	// Priority is from 0, the most urgent, to 9.
	Priority int
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
	Generative  bool
}

// Reading is what an answer's header says.
type Reading struct {
	// Signed answers come from a backend server's program.
	Signed bool
	// NotRun is set where the server says that it did not run the request.
	NotRun bool
	// Leaving is set where the server takes no further requests.
	Leaving bool
	// Backoff is how long a server that turned the request away wants no further ones from
	// this instance; zero where it does not say.
	Backoff time.Duration
	// Load is nil where the server did not tell it.
	Load *scheduling.Load
	// Limit is the rate of requests that the server takes from all instances together,
	// nil where the answer does not say.
	Limit *ratelimit.Rate
}

// Usage counts requests as they begin to run.
type Usage interface {
	RequestStarted(account fleet.Account)
}

// Limits holds the limits of client accounts.
type Limits interface {
	// Take spends cost of an account's limit, if there is room. It may ask other
	// instances, which takes some milliseconds.
	Take(ctx context.Context, account fleet.Account, cost float64) quota.Decision
}

// Forwarder runs the requests of one entry instance. Its exported fields are set
// before its first use.
type Forwarder struct {
	Clock     clock.Clock
	Rules     *atomic.Pointer[ruleset.Ruleset]
	Currency  *currency.Tracker
	Limits    Limits
	Retries   *retry.Budgets
	Scheduler *scheduling.Scheduler
	Pool      *upstream.Pool
	Protocol  Protocol
	Usage     Usage
	Counters  *Counters
	// Quarantine knows the requests that end backend servers.
	Quarantine *quarantine.Ledger
	// Versions says which versions of servers requests go to, and Trials counts what comes
	// of it while one is tried.
	Versions *rollout.Gate
	Trials   *rollout.Counter
	// MaxResponseBytes bounds an answer that is not a stream.
	MaxResponseBytes int64
	// Observe is told each outcome; it may be nil.
	Observe func(*Request, Outcome)

	// terminationChecks are the servers that are being looked at, by their ids.
	terminationChecks singleflight.Group
}

const (
	// defaultTimeout bounds requests whose caller and route name no time.
	defaultTimeout = 30 * time.Second
	// answerMargin is kept of a timeout to tell the caller the end.
	answerMargin = 20 * time.Millisecond
	// maxPriority is the least urgent priority of an engine.
	maxPriority = 9
	// routePriorities is how many priorities of routes fit into one of accounts.
	routePriorities = 3
	// startupRetryAfter is told to callers of an instance that has no rules yet: it reads them,
	// and then what the others have spent, in about a second.
	startupRetryAfter = time.Second
	// unavailableRetryAfter is told to callers who are refused for what may last: the store is
	// away, no server is there.
	unavailableRetryAfter = 500 * time.Millisecond
)

// Serve runs a request to its final answer, which the sink has got when Serve
// returns. ctx ends when the caller is gone.
func (f *Forwarder) Serve(ctx context.Context, r *Request, sink Sink) Outcome {
	j, refusal := f.prepare(ctx, r)
	if refusal == nil {
		refusal = f.run(ctx, j, sink)
	}

	outcome := Outcome{Reason: Answered, Duration: f.Clock.Now().Sub(r.Arrived)}
	if j != nil {
		outcome.Route, outcome.Account, outcome.Servers = j.route.Name, j.accountName(), j.sentTo
		outcome.Events, outcome.RulesVersion, outcome.Queued = j.stream.events, j.rules.Version(), j.queued
		outcome.Fingerprint = j.fingerprint
	}

	outcome.RulesAge, _ = f.Currency.Age()

	if refusal != nil {
		outcome.Reason, outcome.Cause, outcome.NotRun = refusal.Reason, refusal.Cause, refusal.NotRun
		sink.Refuse(*refusal)
	}

	f.Counters.record(outcome)

	if f.Observe != nil {
		f.Observe(r, outcome)
	}

	return outcome
}

// prepare checks what needs no backend server: rules, key, limit.
func (f *Forwarder) prepare(ctx context.Context, r *Request) (*job, *Refusal) {
	rules := f.Rules.Load()
	if rules == nil {
		return nil, notRunRefusal(NoRules, startupRetryAfter)
	}

	route, ok := rules.Match(r.Host, r.Path)
	if !ok {
		if !f.Currency.Current() {
			// The route may have been added since.
			return nil, notRunRefusal(StaleRules, unavailableRetryAfter)
		}

		return nil, &Refusal{Reason: NoRoute, NotRun: true}
	}

	j := &job{forwarder: f, request: r, route: route, rules: rules}
	j.deadline = r.Arrived.Add(j.timeout())

	if refusal := f.authorize(j); refusal != nil {
		return j, refusal
	}

	j.fingerprint = quarantine.FingerprintOf(fleet.Account(j.accountName()), r.Method, r.Host, r.Target, r.Body)

	if refusal := f.checkQuarantine(j); refusal != nil {
		return j, refusal
	}

	j.service = route.Target(rand.Float64())
	f.Retries.Of(retry.NewScope(j.service, "")).CountRequest(f.Clock.Now())

	return j, f.takeLimit(ctx, j)
}

func (f *Forwarder) authorize(j *job) *Refusal {
	if !j.rules.Keyed() || j.route.Public {
		return nil
	}

	if !f.Currency.Current() {
		return notRunRefusal(StaleRules, unavailableRetryAfter)
	}

	account, ok := j.rules.AccountOf(j.request.APIKey)
	if !ok {
		return &Refusal{Reason: Unauthorized, NotRun: true}
	}

	j.account = account

	return nil
}

// checkQuarantine refuses a request that is held off. It is not sent, and says when it may be
// tried again.
func (f *Forwarder) checkQuarantine(j *job) *Refusal {
	if left, held := f.Quarantine.Quarantined(f.Clock.Now(), j.fingerprint); held {
		return notRunRefusal(Quarantined, left)
	}

	return nil
}

// takeLimit spends the account's limit.
func (f *Forwarder) takeLimit(ctx context.Context, j *job) *Refusal {
	if j.account == nil || j.account.Rate <= 0 {
		return nil
	}

	decision := f.Limits.Take(ctx, j.account.Name, j.cost())
	if decision.Granted {
		return nil
	}

	return &Refusal{
		Reason: OverLimit, NotRun: true, RetryAfter: decision.RetryAfter,
		Cause: fmt.Sprintf("cost %.0f, part %.0f of %.0f left", j.cost(), decision.Share, decision.Remaining),
	}
}
