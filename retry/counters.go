package retry

import "github.com/VictoriaMetrics/metrics"

// Counters count what budgets grant and refuse. A nil pointer counts nothing.
type Counters struct {
	share, fixed, refused *metrics.Counter
}

// NewCounters registers counters in a set of metrics.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		share:   set.NewCounter(`monsoonlever_retry_budget_total{part="share"}`),
		fixed:   set.NewCounter(`monsoonlever_retry_budget_total{part="fixed"}`),
		refused: set.NewCounter(`monsoonlever_retry_budget_total{part="none"}`),
	}
}

// granted counts a retry, which used the fixed part of the budget if the share of the requests was
// used up.
func (c *Counters) granted(fixed bool) {
	switch {
	case c == nil:
	case fixed:
		c.fixed.Inc()
	default:
		c.share.Inc()
	}
}

func (c *Counters) refuse() {
	if c != nil {
		c.refused.Inc()
	}
}
