package claim

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters are the metrics of all executors in this process.
type counters struct {
	requests      *metrics.Counter
	dispatches    *metrics.Counter
	verdicts      map[RunState]*metrics.Counter
	voids         *metrics.Counter
	outages       *metrics.Counter
	failedAppends *metrics.Counter
	keys          *metrics.Gauge
	openAttempts  *metrics.Gauge
}

func newCounters() counters {
	c := counters{
		requests:      metrics.GetOrCreateCounter("monsoonlever_claim_requests_total"),
		dispatches:    metrics.GetOrCreateCounter("monsoonlever_claim_dispatches_total"),
		voids:         metrics.GetOrCreateCounter("monsoonlever_claim_voids_total"),
		outages:       metrics.GetOrCreateCounter("monsoonlever_claim_outages_total"),
		failedAppends: metrics.GetOrCreateCounter("monsoonlever_claim_failed_appends_total"),
		keys:          metrics.GetOrCreateGauge("monsoonlever_claim_keys", nil),
		openAttempts:  metrics.GetOrCreateGauge("monsoonlever_claim_open_attempts", nil),
		verdicts:      make(map[RunState]*metrics.Counter),
	}

	for _, run := range []RunState{Ran, NotRun, NotStarted, Unknown, KeyReused, KeyExpired} {
		c.verdicts[run] = metrics.GetOrCreateCounter(fmt.Sprintf("monsoonlever_claim_verdicts_total{run=%q}", string(run)))
	}

	return c
}
