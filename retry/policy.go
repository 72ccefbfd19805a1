package retry

import (
	"cmp"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/backend"
)

// Policy decides about the attempts of calls. Its fields are set before its
// first use; zero fields but Budgets stand for defaults.
type Policy struct {
	Budgets *Budgets
	Backoff Backoff
	// MaxAttempts is how often a call is tried at most.
	MaxAttempts int
	// MaxHedgeUtilisation is the utilisation of a service below which it is hedged.
	MaxHedgeUtilisation float64
	// Metrics receives the counters, unless it is nil.
	Metrics *metrics.Set
}

const (
	defaultMaxAttempts         = 3
	defaultMaxHedgeUtilisation = 0.7
)

// CountCall counts a call, before its first attempt.
func (p *Policy) CountCall(now time.Time, c *Call) {
	p.Budgets.Of(c.scope).CountRequest(now)
}

// Decide takes in that an attempt failed and tells whether there is another.
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
	after := p.delay(random, c, unsent)

	if !c.canFinish(now.Add(after)) {
		return Decision{reason: DeadlineTooClose}
	}

	if !p.takeRetry(now, c, unsent) {
		return Decision{reason: BudgetExhausted}
	}

	return Decision{delay: after}
}

// delay returns the delay before the next attempt. The first attempt that wasn't
// sent needs none: the next goes to another server.
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
