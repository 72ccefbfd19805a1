package quota

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Counters count the decisions of this instance on loans of paced accounts. A nil pointer counts
// nothing.
type Counters struct {
	granted, overdue, refused *metrics.Counter
	wait                      *metrics.Histogram
}

// NewCounters registers counters in a set of metrics.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		granted: set.NewCounter(`monsoonlever_quota_paced_loans_total{outcome="granted"}`),
		overdue: set.NewCounter(`monsoonlever_quota_paced_loans_total{outcome="overdue"}`),
		refused: set.NewCounter(`monsoonlever_quota_paced_loans_total{outcome="refused"}`),
		wait:    set.NewHistogram("monsoonlever_quota_paced_wait_seconds"),
	}
}

func (c *Counters) pacedGranted(overdue bool) {
	switch {
	case c == nil:
	case overdue:
		c.overdue.Inc()
	default:
		c.granted.Inc()
	}
}

func (c *Counters) pacedRefused(wait time.Duration) {
	if c == nil {
		return
	}

	c.refused.Inc()
	c.wait.Update(wait.Seconds())
}
