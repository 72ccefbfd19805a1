package forward

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// minQueued is the shortest queueing time that is recorded, so that requests which did not
// wait stay out of the histogram.
const minQueued = 10 * time.Millisecond

// Counters count the outcomes of requests. A nil *Counters counts nothing.
type Counters struct {
	outcomes    [reasons]*metrics.Counter
	secondSends *metrics.Counter
	duration    *metrics.Histogram
	queued      *metrics.Histogram
	retryWait   *metrics.Histogram
	// detours count the requests of other instances that this one served or refused.
	detours, refusedDetours *metrics.Counter
	// cuts count the responses that exceeded a bound.
	cuts map[cutCause]*metrics.Counter
}

// NewCounters registers the counters of a forwarder in a set.
func NewCounters(set *metrics.Set) *Counters {
	c := &Counters{
		secondSends: set.NewCounter("monsoonlever_forward_second_sends_total"),
		duration:    set.NewHistogram("monsoonlever_forward_request_seconds"),
		queued:      set.NewHistogram("monsoonlever_forward_held_seconds"),
		retryWait:   set.NewHistogram("monsoonlever_forward_retry_wait_seconds"),

		detours:        set.NewCounter("monsoonlever_forward_detours_served_total"),
		refusedDetours: set.NewCounter("monsoonlever_forward_detours_refused_total"),
		cuts:           make(map[cutCause]*metrics.Counter),
	}

	for _, cause := range cutCauses {
		c.cuts[cause] = set.NewCounter(`monsoonlever_forward_cut_responses_total{bound="` + string(cause) + `"}`)
	}

	for reason := range reasons {
		c.outcomes[reason] = set.NewCounter(`monsoonlever_forward_requests_total{outcome="` + reason.String() + `"}`)
	}

	return c
}

func (c *Counters) record(o Outcome) {
	if c == nil {
		return
	}

	c.outcomes[o.Reason].Inc()
	c.duration.Update(o.Duration.Seconds())

	if o.Queued >= minQueued {
		c.queued.Update(o.Queued.Seconds())
	}

	if len(o.Servers) > 1 {
		c.secondSends.Add(len(o.Servers) - 1)
	}
}

// recordRetryWait records the time from the grant of a retry until it was sent.
func (c *Counters) recordRetryWait(wait time.Duration) {
	if c != nil {
		c.retryWait.Update(wait.Seconds())
	}
}

// recordDetour counts a request of another instance.
func (c *Counters) recordDetour(refusal *Refusal) {
	switch {
	case c == nil:
	case refusal == nil:
		c.detours.Inc()
	default:
		c.refusedDetours.Inc()
	}
}

// recordCut counts a response that was cut.
func (c *Counters) recordCut(cause cutCause) {
	if c != nil {
		c.cuts[cause].Inc()
	}
}
