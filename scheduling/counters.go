package scheduling

import "github.com/VictoriaMetrics/metrics"

// Counters count requests that were sent contrary to what their server announced, and those that
// brittle servers rejected. A nil pointer counts nothing.
type Counters struct {
	toLeaving, inBackoff *metrics.Counter
	// rejectedPermitted and rejectedUnpermitted are rejections by brittle servers of requests with a
	// permit, and of those that were sent without.
	rejectedPermitted, rejectedUnpermitted *metrics.Counter
	reads                                  slownessCounters
}

// NewCounters registers counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		toLeaving: set.NewCounter("monsoonlever_scheduling_sends_to_leaving_total"),
		inBackoff: set.NewCounter("monsoonlever_scheduling_sends_in_backoff_total"),

		rejectedPermitted:   set.NewCounter(`monsoonlever_scheduling_brittle_rejections_total{permit="yes"}`),
		rejectedUnpermitted: set.NewCounter(`monsoonlever_scheduling_brittle_rejections_total{permit="no"}`),

		reads: newSlownessCounters(set),
	}
}

func (c *Counters) sentToLeaving() {
	if c != nil {
		c.toLeaving.Inc()
	}
}

func (c *Counters) sentInBackoff() {
	if c != nil {
		c.inBackoff.Inc()
	}
}

func (c *Counters) rejectedByBrittle(maxRejections int, permitted bool) {
	switch {
	case c == nil || maxRejections == 0:
	case permitted:
		c.rejectedPermitted.Inc()
	default:
		c.rejectedUnpermitted.Inc()
	}
}
