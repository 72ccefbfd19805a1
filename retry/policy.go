package retry

import (
	"cmp"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/backend"
)

// Policy decides about retries and hedges of calls. Its fields are set before its
// first use. Budgets is required; another zero field selects its default.
type Policy struct {
	Budgets *Budgets
	Backoff Backoff
	// MaxAttempts bounds the attempts at one call, the first included: 3 by default.
	MaxAttempts int
	// MaxHedgeUtilisation is the utilisation of a service, from 0 to 1, at and above
	// which its calls are not hedged: 0.7 by default.
	MaxHedgeUtilisation float64
	// Metrics receives the counters, unless it is nil.
	Metrics *metrics.Set
}

const (
	defaultMaxAttempts         = 3
	defaultMaxHedgeUtilisation = 0.7
)

// CountCall counts a call for its budget. It is called once, before the first attempt.
func (p *Policy) CountCall(now time.Time, c *Call) {
	p.Budgets.Of(c.scope).CountRequest(now)
}

// Decide records that an attempt failed with err and decides whether the call is
// retried.
func (p *Policy) Decide(now time.Time, random Random, c *Call, err error) Decision {
	c.recordFailure(err)
	d := p.decide(now, random, c, err)
	p.count(d)

	return d
}

func (p *Policy) decide(now time.Time, random Random, c *Call, err error) Decision {
	if !c.idempotent && c.mayHaveRun {
		return Decision{reason: MayHaveRun}
	}

	if c.failedAttempts >= cmp.Or(p.MaxAttempts, defaultMaxAttempts) {
		return Decision{reason: AttemptsExhausted}
	}

	unsent := errors.Is(err, backend.ErrNotSent)
	delay := p.delay(random, c, unsent)

	if !c.canFinish(now.Add(delay)) {
		return Decision{reason: DeadlineTooClose}
	}

	if !p.takeRetry(now, c, unsent) {
		return Decision{reason: BudgetExhausted}
	}

	return Decision{delay: delay}
}

// delay returns the time to wait before the next attempt. There is none after a first
// attempt that was not sent, since the next one goes to another server.
func (p *Policy) delay(random Random, c *Call, unsent bool) time.Duration {
	if unsent && c.failedAttempts == 1 {
		return 0
	}

	return p.Backoff.Delay(random, c.failedAttempts)
}

func (p *Policy) takeRetry(now time.Time, c *Call, unsent bool) bool {
	budget := p.Budgets.Of(c.scope)
	if unsent {
		return budget.TakeUnsent(now)
	}

	return budget.Take(now)
}

func (p *Policy) count(d Decision) {
	if p.Metrics == nil {
		return
	}

	if d.Retry() {
		p.Metrics.GetOrCreateCounter(`monsoonlever_retry_retries_total`).Inc()

		return
	}

	p.Metrics.GetOrCreateCounter(`monsoonlever_retry_given_up_total{reason="` + d.reason.String() + `"}`).Inc()
}
