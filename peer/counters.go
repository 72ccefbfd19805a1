package peer

import "github.com/VictoriaMetrics/metrics"

// Counters of the transport, shared by all nodes of a process.
var (
	sentFrames          = metrics.GetOrCreateCounter("monsoonlever_peer_sent_frames_total")
	sentBytes           = metrics.GetOrCreateCounter("monsoonlever_peer_sent_bytes_total")
	receivedFrames      = metrics.GetOrCreateCounter("monsoonlever_peer_received_frames_total")
	receivedBytes       = metrics.GetOrCreateCounter("monsoonlever_peer_received_bytes_total")
	displacedFrames     = metrics.GetOrCreateCounter(`monsoonlever_peer_dropped_total{cause="displaced"}`)
	undeliverableFrames = metrics.GetOrCreateCounter(`monsoonlever_peer_dropped_total{cause="unreachable"}`)
	dialFailures        = metrics.GetOrCreateCounter("monsoonlever_peer_dial_failures_total")
	acceptFailures      = metrics.GetOrCreateCounter("monsoonlever_peer_accept_failures_total")
	connects            = metrics.GetOrCreateCounter("monsoonlever_peer_connects_total")
)

func countFault(f Fault) {
	metrics.GetOrCreateCounter(`monsoonlever_peer_malformed_total{fault="` + f.String() + `"}`).Inc()
}

func refusedCounter(r Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(`monsoonlever_peer_refused_total{reason="` + r.String() + `"}`)
}
