package retry

import (
	"cmp"
	"time"
)

// HedgeAt returns when a second attempt at a call should begin beside its first,
// which began at a time and is slower than usual after the given latency. It
// returns false for a call that must not or need not be hedged: one that isn't
// idempotent, has failed or was hedged already, can't finish in time, or whose
// service is so busy that more work would slow it further.
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

// TakeHedge takes the hedge out of the budget once its time has come.
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
