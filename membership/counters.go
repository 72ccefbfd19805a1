package membership

import (
	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

var (
	droppedMessages = metrics.GetOrCreateCounter("monsoonlever_membership_dropped_messages_total")
	failedSends     = metrics.GetOrCreateCounter("monsoonlever_membership_failed_sends_total")
	failedListings  = metrics.GetOrCreateCounter("monsoonlever_membership_failed_listings_total")
	changes         = metrics.GetOrCreateCounter("monsoonlever_membership_changes_total")
	deaths          = metrics.GetOrCreateCounter("monsoonlever_membership_deaths_total")
	suspicions      = metrics.GetOrCreateCounter("monsoonlever_membership_suspicions_total")
)

// recordChange counts a change, and logs it when the member's incarnation,
// revision or status differs.
func recordChange(c Change) {
	changes.Inc()

	if c.after == nil || (c.before != nil && c.before.version() == c.after.version()) {
		return
	}

	switch c.after.status {
	case Suspect:
		suspicions.Inc()
	case Dead:
		deaths.Inc()
	case Alive:
	}

	klog.InfoS("member changed", "member", c.after.identity.ID, "incarnation", c.after.identity.Incarnation,
		"domain", c.after.identity.Domain, "phase", c.after.phase.String(), "status", c.after.status.String())
}
