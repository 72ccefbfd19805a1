package answer

import "github.com/VictoriaMetrics/metrics"

// The counters of all Runners of the process.
var (
	wholeTotal     = metrics.NewCounter(`monsoonlever_answers_total{outcome="whole"}`)
	refusedTotal   = metrics.NewCounter(`monsoonlever_answers_total{outcome="refused"}`)
	attemptsTotal  = metrics.NewCounter(`monsoonlever_answer_attempts_total`)
	lateTotal      = metrics.NewCounter(`monsoonlever_answer_tokens_dropped_total{cause="late"}`)
	crossedTotal   = metrics.NewCounter(`monsoonlever_answer_tokens_dropped_total{cause="crossed"}`)
	repeatedTotal  = metrics.NewCounter(`monsoonlever_answer_tokens_dropped_total{cause="repeated"}`)
	kvImportsTotal = metrics.NewCounter(`monsoonlever_answer_kv_imports_total`)
)

// count adds a request that has ended to the counters.
func count(r Result) {
	if r.Whole() {
		wholeTotal.Inc()
	} else {
		refusedTotal.Inc()
	}

	attemptsTotal.Add(r.Attempts())
	lateTotal.Add(r.Drops().Late)
	crossedTotal.Add(r.Drops().Crossed)
	repeatedTotal.Add(r.Drops().Repeated)
}

// Register adds what the Store holds and did to a set of metrics.
func (r *Replicator) Register(set *metrics.Set) {
	set.NewGauge(`monsoonlever_kept_answers`, func() float64 { return float64(r.Counts().Answers) })
	set.NewGauge(`monsoonlever_kept_takeovers_total`, func() float64 { return float64(r.Counts().Takeovers) })
	set.NewGauge(`monsoonlever_kept_superseded_total`, func() float64 { return float64(r.Counts().Superseded) })
	set.NewGauge(`monsoonlever_kept_replaced_total`, func() float64 { return float64(r.Counts().Replaced) })
	set.NewGauge(`monsoonlever_kept_unprotected_total`, func() float64 { return float64(r.Counts().Unprotected) })
	set.NewGauge(`monsoonlever_kept_prefix_lost_total`, func() float64 { return float64(r.Counts().PrefixLost) })
}
