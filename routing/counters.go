package routing

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of a table.
type counters struct {
	picksByLoad        *metrics.Counter
	picksByPrefix      *metrics.Counter
	picksToProbe       *metrics.Counter
	picksLastResort    *metrics.Counter
	noServer           *metrics.Counter
	prefixOverBound    *metrics.Counter
	ejectionsDial      *metrics.Counter
	ejectionsErrors    *metrics.Counter
	ejectionsLatency   *metrics.Counter
	ejectionsOverBound *metrics.Counter
	readmissions       *metrics.Counter
	probesFailed       *metrics.Counter
	eventGaps          *metrics.Counter
	leaving            [sourceCount]*metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		picksByLoad:        set.GetOrCreateCounter(`monsoonlever_routing_picks_total{by="load"}`),
		picksByPrefix:      set.GetOrCreateCounter(`monsoonlever_routing_picks_total{by="prefix"}`),
		picksToProbe:       set.GetOrCreateCounter(`monsoonlever_routing_picks_total{by="probe"}`),
		picksLastResort:    set.GetOrCreateCounter(`monsoonlever_routing_picks_total{by="lastResort"}`),
		noServer:           set.GetOrCreateCounter(`monsoonlever_routing_no_server_total`),
		prefixOverBound:    set.GetOrCreateCounter(`monsoonlever_routing_prefix_over_bound_total`),
		ejectionsDial:      set.GetOrCreateCounter(`monsoonlever_routing_ejections_total{cause="dial"}`),
		ejectionsErrors:    set.GetOrCreateCounter(`monsoonlever_routing_ejections_total{cause="errors"}`),
		ejectionsLatency:   set.GetOrCreateCounter(`monsoonlever_routing_ejections_total{cause="latency"}`),
		ejectionsOverBound: set.GetOrCreateCounter(`monsoonlever_routing_ejections_over_bound_total`),
		readmissions:       set.GetOrCreateCounter(`monsoonlever_routing_readmissions_total`),
		probesFailed:       set.GetOrCreateCounter(`monsoonlever_routing_probes_failed_total`),
		eventGaps:          set.GetOrCreateCounter(`monsoonlever_routing_cache_event_gaps_total`),
	}

	for s := range sourceCount {
		c.leaving[s] = set.GetOrCreateCounter(`monsoonlever_routing_leaving_total{source="` + s.String() + `"}`)
	}

	return c
}
