package resumption

import "github.com/VictoriaMetrics/metrics"

// Counters count the lookups of streams that callers resume. A nil *Counters counts nothing.
type Counters struct {
	held, found, ambiguous, unknown *metrics.Counter
}

// NewCounters registers the counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	counter := func(outcome string) *metrics.Counter {
		return set.NewCounter(`monsoonlever_resumption_lookups_total{outcome="` + outcome + `"}`)
	}

	return &Counters{held: counter("held"), found: counter("found"), ambiguous: counter("ambiguous"), unknown: counter("unknown")}
}

func (c *Counters) record(r Result, held bool) {
	switch {
	case c == nil:
	case r == Ambiguous:
		c.ambiguous.Inc()
	case r == Unknown, r == Pending:
		c.unknown.Inc()
	case held:
		c.held.Inc()
	default:
		c.found.Inc()
	}
}
