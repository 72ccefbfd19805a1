package controller

import "github.com/VictoriaMetrics/metrics"

// counters are the metrics of a controller. withheld counts the calls that were not made because the
// lease was lost.
type counters struct {
	holder      *metrics.Gauge
	grants      *metrics.Counter
	checkpoints *metrics.Counter
	undecodable *metrics.Counter
	withheld    *metrics.Counter
	cloudErrors *metrics.Counter
	orders      *metrics.Counter
	orderErrors *metrics.Counter
	bought      *metrics.Counter
	refused     *metrics.Counter
	unknown     *metrics.Counter
	released    *metrics.Counter
}

func newCounters(set *metrics.Set) *counters {
	return &counters{
		holder:      set.GetOrCreateGauge(`monsoonlever_control_holder`, nil),
		grants:      set.GetOrCreateCounter(`monsoonlever_control_grants_total`),
		checkpoints: set.GetOrCreateCounter(`monsoonlever_control_checkpoints_total`),
		undecodable: set.GetOrCreateCounter(`monsoonlever_control_undecodable_total`),
		withheld:    set.GetOrCreateCounter(`monsoonlever_control_withheld_calls_total`),
		cloudErrors: set.GetOrCreateCounter(`monsoonlever_control_cloud_errors_total`),
		orders:      set.GetOrCreateCounter(`monsoonlever_control_orders_total`),
		orderErrors: set.GetOrCreateCounter(`monsoonlever_control_order_errors_total`),
		bought:      set.GetOrCreateCounter(`monsoonlever_control_purchases_total{outcome="bought"}`),
		refused:     set.GetOrCreateCounter(`monsoonlever_control_purchases_total{outcome="refused"}`),
		unknown:     set.GetOrCreateCounter(`monsoonlever_control_purchases_total{outcome="unknown"}`),
		released:    set.GetOrCreateCounter(`monsoonlever_control_releases_total`),
	}
}
