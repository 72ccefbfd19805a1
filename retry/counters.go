package retry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/clock"
)

// Counters count what budgets grant and refuse. A nil pointer counts nothing.
type Counters struct {
	set                   *metrics.Set
	clock                 clock.Clock
	share, fixed, refused *metrics.Counter
}

// NewCounters registers counters in a set of metrics.
func NewCounters(set *metrics.Set, c clock.Clock) *Counters {
	return &Counters{
		set: set, clock: c,
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

// addGauges registers gauges of what a budget has counted in its window. Their sums over all
// instances are what a bound on the retries of a service compares.
func (c *Counters) addGauges(s Scope, b *Budget) {
	if c == nil {
		return
	}

	gauge := func(count string, value func(Usage) float64) {
		name := fmt.Sprintf("monsoonlever_retry_window{service=%q,account=%q,count=%q}", s.service, s.account, count)
		c.set.GetOrCreateGauge(name, func() float64 { return value(b.Usage(c.clock.Now())) })
	}

	gauge("requests", func(u Usage) float64 { return float64(u.requests) })
	gauge("retries", func(u Usage) float64 { return float64(u.retries) })
	gauge("fixed", func(u Usage) float64 { return u.fixed })
}
