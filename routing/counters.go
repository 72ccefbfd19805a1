package routing

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of a table.
type counters struct {
	picksByLoad  *metrics.Counter
	picksByHint  *metrics.Counter
	picksToProbe *metrics.Counter
	picksLast    *metrics.Counter
	noServer     *metrics.Counter
	hintOver     *metrics.Counter
	ejectedDial  *metrics.Counter
	ejectedError *metrics.Counter
	ejectedSlow  *metrics.Counter
	overBound    *metrics.Counter
	readmitted   *metrics.Counter
	probesFailed *metrics.Counter
	eventGaps    *metrics.Counter
	leaving      [sourceCount]*metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		picksByLoad:  set.GetOrCreateCounter(`monsoonlever_routing_picks_total{by="load"}`),
		picksByHint:  set.GetOrCreateCounter(`monsoonlever_routing_picks_total{by="prefix"}`),
		picksToProbe: set.GetOrCreateCounter(`monsoonlever_routing_picks_total{by="probe"}`),
		picksLast:    set.GetOrCreateCounter(`monsoonlever_routing_picks_total{by="lastResort"}`),
		noServer:     set.GetOrCreateCounter(`monsoonlever_routing_no_server_total`),
		hintOver:     set.GetOrCreateCounter(`monsoonlever_routing_prefix_over_bound_total`),
		ejectedDial:  set.GetOrCreateCounter(`monsoonlever_routing_ejections_total{cause="dial"}`),
		ejectedError: set.GetOrCreateCounter(`monsoonlever_routing_ejections_total{cause="errors"}`),
		ejectedSlow:  set.GetOrCreateCounter(`monsoonlever_routing_ejections_total{cause="latency"}`),
		overBound:    set.GetOrCreateCounter(`monsoonlever_routing_ejections_over_bound_total`),
		readmitted:   set.GetOrCreateCounter(`monsoonlever_routing_readmissions_total`),
		probesFailed: set.GetOrCreateCounter(`monsoonlever_routing_probes_failed_total`),
		eventGaps:    set.GetOrCreateCounter(`monsoonlever_routing_cache_event_gaps_total`),
	}

	for s := range sourceCount {
		c.leaving[s] = set.GetOrCreateCounter(`monsoonlever_routing_leaving_total{source="` + s.String() + `"}`)
	}

	return c
}
