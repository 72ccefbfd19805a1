package listener

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Counters count what a Guard does to connections. A nil *Counters counts nothing.
type Counters struct {
	refusals, evictions *metrics.Counter
}

// NewCounters registers counters of a port in a set.
func NewCounters(set *metrics.Set, port string) *Counters {
	counter := func(name string) *metrics.Counter {
		return set.NewCounter(fmt.Sprintf("%s{port=%q}", name, port))
	}

	return &Counters{
		refusals:  counter("monsoonlever_listener_refusals_total"),
		evictions: counter("monsoonlever_listener_evictions_total"),
	}
}

func (c *Counters) refused() {
	if c != nil {
		c.refusals.Inc()
	}
}

func (c *Counters) evicted() {
	if c != nil {
		c.evictions.Inc()
	}
}
