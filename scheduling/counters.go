package scheduling

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Counters count requests that were sent contrary to what their server announced, and those that
// brittle servers rejected. A nil pointer counts nothing.
type Counters struct {
	toLeaving, inBackoff *metrics.Counter
	// rejectedPermitted and rejectedUnpermitted are rejections by brittle servers of requests with a
	// permit, and of those that were sent without.
	rejectedPermitted, rejectedUnpermitted *metrics.Counter
	// waitingPrompts are the prompts that wait, by priority.
	waitingPrompts [maxReportedPriority + 1]*metrics.Gauge
	waitTime       *metrics.Histogram
	overloaded     [overloadReasons]*metrics.Counter
}

// maxReportedPriority bounds the series of waiting prompts. Less urgent ones count as this one.
const maxReportedPriority = 9

// NewCounters registers counters in a set.
func NewCounters(set *metrics.Set) *Counters {
	c := &Counters{
		toLeaving: set.NewCounter("monsoonlever_scheduling_sends_to_leaving_total"),
		inBackoff: set.NewCounter("monsoonlever_scheduling_sends_in_backoff_total"),

		rejectedPermitted:   set.NewCounter(`monsoonlever_scheduling_brittle_rejections_total{permit="yes"}`),
		rejectedUnpermitted: set.NewCounter(`monsoonlever_scheduling_brittle_rejections_total{permit="no"}`),
		waitTime:            set.NewHistogram("monsoonlever_scheduling_queue_wait_seconds"),
	}

	for priority := range c.waitingPrompts {
		c.waitingPrompts[priority] = set.NewGauge(fmt.Sprintf("monsoonlever_scheduling_queue_waiting{priority=\"%d\"}", priority), nil)
	}

	for reason := range overloadReasons {
		c.overloaded[reason] = set.NewCounter(fmt.Sprintf("monsoonlever_scheduling_overloaded_total{reason=%q}", reason))
	}

	return c
}

// waiting adds to the number of prompts that wait.
func (c *Counters) waiting(priority, change int) {
	if c != nil {
		c.waitingPrompts[min(max(priority, 0), maxReportedPriority)].Add(float64(change))
	}
}

// waited records how long a prompt waited that was sent.
func (c *Counters) waited(d time.Duration) {
	if c != nil {
		c.waitTime.Update(d.Seconds())
	}
}

func (c *Counters) rejectedForOverload(reason OverloadReason) {
	if c != nil {
		c.overloaded[reason].Inc()
	}
}

func (c *Counters) sentToLeaving() {
	if c != nil {
		c.toLeaving.Inc()
	}
}

func (c *Counters) sentInBackoff() {
	if c != nil {
		c.inBackoff.Inc()
	}
}

func (c *Counters) rejectedByBrittle(maxRejections int, permitted bool) {
	switch {
	case c == nil || maxRejections == 0:
	case permitted:
		c.rejectedPermitted.Inc()
	default:
		c.rejectedUnpermitted.Inc()
	}
}
