package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// leastHeld keeps requests that went on at once out of the times of those that did not.
const leastHeld = 10 * time.Millisecond

// Counters count outcomes. A nil pointer counts nothing.
type Counters struct {
	outcomes [reasons]*metrics.Counter
	resumed  *metrics.Counter
	took     *metrics.Histogram
	held     *metrics.Histogram
}

// NewCounters registers counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	c := &Counters{
		resumed: set.NewCounter("monsoonlever_forward_second_sends_total"),
		took:    set.NewHistogram("monsoonlever_forward_request_seconds"),
		held:    set.NewHistogram("monsoonlever_forward_held_seconds"),
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
	c.took.Update(o.Duration.Seconds())

	if o.Queued >= leastHeld {
		c.held.Update(o.Queued.Seconds())
	}

	if len(o.Servers) > 1 {
		c.resumed.Add(len(o.Servers) - 1)
	}
}
