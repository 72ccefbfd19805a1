package forward

import (
	"github.com/VictoriaMetrics/metrics"
)

// Counters count outcomes. A nil pointer counts nothing.
type Counters struct {
	outcomes [reasons]*metrics.Counter
	resumed  *metrics.Counter
	took     *metrics.Histogram
}

// NewCounters registers counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	c := &Counters{
		resumed: set.NewCounter("monsoonlever_forward_second_sends_total"),
		took:    set.NewHistogram("monsoonlever_forward_request_seconds"),
	}

	for reason := range reasons {
		c.outcomes[reason] = set.NewCounter(`monsoonlever_forward_requests_total{outcome="` + reason.String() + `"}`)
	}

	return c
}

func (c *Counters) served(o Outcome) {
	if c == nil {
		return
	}

	c.outcomes[o.Reason].Inc()
	c.took.Update(o.Took.Seconds())

	if len(o.Servers) > 1 {
		c.resumed.Add(len(o.Servers) - 1)
	}
}
