package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"monsoonlever/capacity"
	"monsoonlever/fleet"
)

// planGauges are the metrics of the plans for backend servers, one series of each for a service.
// Only the instance that places orders has them. It is not safe for concurrent use.
type planGauges struct {
	set *metrics.Set
	// names are the registered metrics by service.
	names map[fleet.Service][]string
}

func newPlanGauges(set *metrics.Set) *planGauges {
	return &planGauges{set: set, names: make(map[fleet.Service][]string)}
}

// publish sets the metrics of a service to its plan.
func (g *planGauges) publish(s capacity.ServiceState, wanted int, bound capacity.Bound) {
	values := map[string]float64{
		fmt.Sprintf("monsoonlever_entry_wanted_servers{service=%q,bound=%q}", string(s.Service), string(bound)): float64(wanted),
		fmt.Sprintf("monsoonlever_entry_read_rate{service=%q}", string(s.Service)):                              s.ReadRate,
		fmt.Sprintf("monsoonlever_entry_mean_pace{service=%q}", string(s.Service)):                              s.MeanPace(),
	}

	var names []string

	for name, value := range values {
		g.set.GetOrCreateGauge(name, nil).Set(value)

		names = append(names, name)
	}

	for _, name := range g.names[s.Service] {
		if _, kept := values[name]; !kept {
			g.set.UnregisterMetric(name)
		}
	}

	g.names[s.Service] = names
}

// withdraw removes all metrics, as this instance plans no more.
func (g *planGauges) withdraw() {
	for service, names := range g.names {
		for _, name := range names {
			g.set.UnregisterMetric(name)
		}

		delete(g.names, service)
	}
}
