package scheduling

import "github.com/VictoriaMetrics/metrics"

// Counters count requests that were sent contrary to what their server announced. A nil pointer
// counts nothing.
type Counters struct {
	toLeaving, inBackoff *metrics.Counter
}

// NewCounters registers counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		toLeaving: set.NewCounter("monsoonlever_scheduling_sends_to_leaving_total"),
		inBackoff: set.NewCounter("monsoonlever_scheduling_sends_in_backoff_total"),
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
