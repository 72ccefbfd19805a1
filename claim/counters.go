package claim

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of the keepers in this process.
type counters struct {
	requests   *metrics.Counter
	dispatches *metrics.Counter
	verdicts   map[Run]*metrics.Counter
	voids      *metrics.Counter
	outages    *metrics.Counter
	failed     *metrics.Counter
}

func newCounters() counters {
	c := counters{
		requests:   metrics.GetOrCreateCounter("monsoonlever_claim_requests_total"),
		dispatches: metrics.GetOrCreateCounter("monsoonlever_claim_dispatches_total"),
		voids:      metrics.GetOrCreateCounter("monsoonlever_claim_voids_total"),
		outages:    metrics.GetOrCreateCounter("monsoonlever_claim_outages_total"),
		failed:     metrics.GetOrCreateCounter("monsoonlever_claim_failed_appends_total"),
		verdicts:   make(map[Run]*metrics.Counter),
	}

	for _, run := range []Run{Ran, NotRun, NotStarted, Unknown, KeyReused, KeyExpired} {
		c.verdicts[run] = metrics.GetOrCreateCounter(fmt.Sprintf("monsoonlever_claim_verdicts_total{run=%q}", string(run)))
	}

	return c
}
