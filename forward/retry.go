package forward

import (
	"time"

	"github.com/ansel1/merry/v2"
	"k8s.io/klog/v2"

	"monsoonlever/fleet"
	"monsoonlever/retry"
)

// errRetryBudget means that a request waited after its retry was granted, and that the budget allows none
// by now.
var errRetryBudget = merry.Sentinel("retry budget is spent since the retry was granted")

// retryGrant is the grant of a retry that was not sent yet. The zero value is none.
type retryGrant struct {
	at time.Time
	// elsewhere is set if another instance has taken it from its budget.
	elsewhere bool
}

// renewRetry has a retry that waited count when it is sent: it is taken from the budget again if the
// grant no longer covers it. The error wraps errRetryBudget.
func (j *job) renewRetry() error {
	if j.grant.at.IsZero() {
		return nil
	}

	f, now := j.forwarder, j.forwarder.Clock.Now()
	budget, wait := f.retryBudget(j.service), now.Sub(j.grant.at)
	f.Counters.recordRetryWait(wait)

	if budget.Covers(now, j.grant.at) {
		return nil
	}

	if !j.grant.elsewhere {
		budget.Return(j.grant.at)
	}

	if !f.takeRetry(j.service) {
		j.grant = retryGrant{}

		return merry.Prependf(errRetryBudget, "waited %v", wait)
	}

	j.grant = retryGrant{at: now}

	return nil
}

// retryBudget returns the retry budget of a service.
func (f *Forwarder) retryBudget(service fleet.Service) *retry.Budget {
	return f.Retries.Of(retry.NewScope(service, ""))
}

// takeRetry takes a further attempt from the retry budget of a service.
func (f *Forwarder) takeRetry(service fleet.Service) bool {
	now, budget := f.Clock.Now(), f.retryBudget(service)

	if budget.Take(now) {
		return true
	}

	if budget.MarkRefused(now) {
		used := budget.Usage(now)
		klog.InfoS("retry budget is spent", "service", service, "retries", used.Retries(), "requests", used.Requests(), "fixedPart", used.Fixed())
	}

	return false
}
