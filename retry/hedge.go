package retry

import (
	"cmp"
	"time"
)

// HedgeAt returns when a hedge of the call should begin: once its first attempt,
// which started at began, has taken the usual latency. It returns false if the call is
// not hedged: it is not idempotent, an attempt failed, it was hedged before, a hedge
// can't finish before the deadline, or the utilisation of the service is so high that
// more load would slow it further.
func (p *Policy) HedgeAt(c *Call, began time.Time, usual time.Duration, utilisation float64) (time.Time, bool) {
	if !c.idempotent || c.hedged || c.failedAttempts > 0 {
		return time.Time{}, false
	}

	if utilisation >= cmp.Or(p.MaxHedgeUtilisation, defaultMaxHedgeUtilisation) {
		return time.Time{}, false
	}

	at := began.Add(usual)

	return at, c.canFinish(at)
}

// TakeHedge reports whether the hedge may begin now, and takes it from the budget if
// so. It is called at the time that HedgeAt returned.
func (p *Policy) TakeHedge(now time.Time, c *Call) bool {
	if !c.idempotent || c.hedged || !c.canFinish(now) {
		return false
	}

	if !p.Budgets.Of(c.scope).Take(now) {
		return false
	}

	c.hedged = true

	if p.Metrics != nil {
		p.Metrics.GetOrCreateCounter(`monsoonlever_retry_hedges_total`).Inc()
	}

	return true
}
