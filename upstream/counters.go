package upstream

import "github.com/VictoriaMetrics/metrics"

// Counters count dialled connections and invalid responses. A nil *Counters counts
// nothing.
type Counters struct {
	dials, dialFailures, stray, garbled *metrics.Counter
}

// NewCounters registers the counters of a pool in a set.
func NewCounters(set *metrics.Set) *Counters {
	return &Counters{
		dials:        set.NewCounter("monsoonlever_upstream_dials_total"),
		dialFailures: set.NewCounter("monsoonlever_upstream_dial_failures_total"),
		stray:        set.NewCounter("monsoonlever_upstream_stray_answers_total"),
		garbled:      set.NewCounter("monsoonlever_upstream_garbled_answers_total"),
	}
}

func (c *Counters) dialled() {
	if c != nil {
		c.dials.Inc()
	}
}

func (c *Counters) dialFailed() {
	if c != nil {
		c.dialFailures.Inc()
	}
}

func (c *Counters) strayResponse() {
	if c != nil {
		c.stray.Inc()
	}
}

func (c *Counters) garbledResponse() {
	if c != nil {
		c.garbled.Inc()
	}
}
