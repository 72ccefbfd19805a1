package admission

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters holds the metrics of a controller.
type counters struct {
	admitted *metrics.Counter
	refused  [reasonCount]*metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{admitted: set.GetOrCreateCounter("monsoonlever_admission_admitted_total")}

	for r := range reasonCount {
		name := fmt.Sprintf("monsoonlever_admission_refused_total{reason=%q}", r.String())
		c.refused[r] = set.GetOrCreateCounter(name)
	}

	return c
}
