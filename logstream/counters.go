package logstream

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/provider"
)

// counters are the metrics of the clients of one stream in this process.
type counters struct {
	appends        *metrics.Counter
	appendBytes    *metrics.Counter
	appendFailures *metrics.Counter
	readFailures   *metrics.Counter
	entries        *metrics.Counter
	drops          map[Drop]*metrics.Counter
	// reported is set once an undecodable record was logged.
	reported bool
}

func newCounters(stream provider.Stream) *counters {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("monsoonlever_journal_%s_total{stream=%q}", name, string(stream)))
	}

	c := &counters{
		appends:        counter("appends"),
		appendBytes:    counter("append_bytes"),
		appendFailures: counter("append_failures"),
		readFailures:   counter("read_failures"),
		entries:        counter("entries"),
		drops:          make(map[Drop]*metrics.Counter),
	}

	for _, reason := range []Drop{Undecodable, Fenced, Delayed} {
		name := fmt.Sprintf("monsoonlever_journal_dropped_records_total{stream=%q,reason=%q}", string(stream), string(reason))
		c.drops[reason] = metrics.GetOrCreateCounter(name)
	}

	return c
}

func (c *counters) dropped(reason Drop) {
	if counter, ok := c.drops[reason]; ok {
		counter.Inc()
	}
}
