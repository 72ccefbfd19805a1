package entry

import (
	"slices"
	"testing"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/capacity"
)

func TestPlanGaugesFollowPlan(t *testing.T) {
	set := metrics.NewSet()
	gauges := newPlanGauges(set)
	state := capacity.ServiceState{Service: "llm", ReadRate: 95_000}

	gauges.publish(state, 31, capacity.Reading)
	gauges.publish(state, 39, capacity.Slots)

	want := []string{
		`monsoonlever_entry_mean_pace{service="llm"}`, `monsoonlever_entry_read_rate{service="llm"}`,
		`monsoonlever_entry_wanted_servers{service="llm",bound="slots"}`,
	}

	if got := set.ListMetricNames(); !slices.Equal(slices.Sorted(slices.Values(got)), want) {
		t.Errorf("metrics: got %v, want %v", got, want)
	}

	if got := set.GetOrCreateGauge(want[2], nil).Get(); got != 39 {
		t.Errorf("wanted servers: got %v, want 39", got)
	}

	gauges.withdraw()

	if got := set.ListMetricNames(); len(got) != 0 {
		t.Errorf("metrics of an instance that plans no more: got %v, want none", got)
	}
}
