package ratelimit

import "github.com/VictoriaMetrics/metrics"

// Counters count permit requests by outcome. A nil pointer counts nothing.
type Counters struct {
	granted, refused, unanswered *metrics.Counter
}

// NewCounters registers counters in a set of metrics.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		granted:    set.NewCounter(`monsoonlever_ratelimit_permits_total{outcome="granted"}`),
		refused:    set.NewCounter(`monsoonlever_ratelimit_permits_total{outcome="refused"}`),
		unanswered: set.NewCounter(`monsoonlever_ratelimit_permits_total{outcome="unanswered"}`),
	}
}

func (c *Counters) record(permit Permit, responded bool) {
	switch {
	case c == nil:
	case !responded:
		c.unanswered.Inc()
	case permit.Granted:
		c.granted.Inc()
	default:
		c.refused.Inc()
	}
}
