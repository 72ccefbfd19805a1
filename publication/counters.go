package publication

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

var (
	versionGauge      = metrics.NewGauge("monsoonlever_manifest_version", nil)
	knownGauge        = metrics.NewGauge("monsoonlever_manifest_known", nil)
	readErrors        = metrics.NewCounter("monsoonlever_manifest_read_errors_total")
	checkpointsTotal  = metrics.NewCounter("monsoonlever_manifest_checkpoints_written_total")
	checkpointErrors  = metrics.NewCounter("monsoonlever_manifest_checkpoint_errors_total")
	publishAppends    = metrics.NewCounter("monsoonlever_manifest_publish_appends_total")
	publishLostAnswer = metrics.NewCounter("monsoonlever_manifest_publish_lost_answers_total")
	applyDelay        = metrics.NewHistogram("monsoonlever_manifest_apply_delay_seconds")
)

// countOutcome counts one record by what it did.
func countOutcome(o Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf("monsoonlever_manifest_records_total{outcome=%q}", o)).Inc()
}
