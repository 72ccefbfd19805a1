package detour

import "github.com/VictoriaMetrics/metrics"

// Counters count the requests that other instances serve for this one. A nil *Counters counts
// nothing.
type Counters struct {
	served, broken, offersDeclined *metrics.Counter
}

// NewCounters registers counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		served:         set.NewCounter("monsoonlever_detour_requests_total"),
		broken:         set.NewCounter("monsoonlever_detour_broken_total"),
		offersDeclined: set.NewCounter("monsoonlever_detour_offers_declined_total"),
	}
}

func (c *Counters) declined() {
	if c != nil {
		c.offersDeclined.Inc()
	}
}

// taken counts a request that another instance took, and whether it broke.
func (c *Counters) taken(err error) {
	if c == nil {
		return
	}

	c.served.Inc()

	if err != nil {
		c.broken.Inc()
	}
}
