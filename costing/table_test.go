package costing_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"monsoonlever/costing"
)

var (
	seeds = flag.Int("costing.seeds", 3, "days to evaluate for each deployment")
	first = flag.Uint64("costing.first", 1, "seed of the first day")
	// urgent shows what the table owes to calls that can wait.
	urgent = flag.Float64("costing.urgent", 0, "share of urgent calls of every service, 0 for its own")
)

// rows are the planners of the table, in order.
const (
	rowOnDemand  = "on demand only"
	rowNoSpare   = "on demand, no spare"
	rowCheapest  = "cheapest first"
	rowEven      = "even spread"
	rowPolicy    = "policy"
	rowForesight = "foresight of the load"
	rowBound     = "lower bound"
)

// worstLate bounds the late calls in 10,000 of the policy on any one day.
const worstLate = 5.0

var rows = []string{rowOnDemand, rowNoSpare, rowCheapest, rowEven, rowPolicy, rowForesight, rowBound}

func evaluate(row string, scenario costing.Scenario) costing.Result {
	var sum costing.Result

	for _, day := range scenario.Services {
		switch row {
		case rowOnDemand:
			sum = sum.Plus(costing.Evaluate(day, costing.NewOnDemandOnly()))
		case rowNoSpare:
			sum = sum.Plus(costing.Evaluate(day, costing.NewOnDemandNoSpare()))
		case rowCheapest:
			sum = sum.Plus(costing.Evaluate(day, costing.CheapestFirst{}))
		case rowEven:
			sum = sum.Plus(costing.Evaluate(day, costing.EvenSpread{}))
		case rowPolicy:
			sum = sum.Plus(costing.Evaluate(day, costing.NewPolicy()))
		case rowForesight:
			sum = sum.Plus(costing.Evaluate(day, costing.Foresight{}))
		default:
			sum = sum.Plus(costing.LowerBound(day))
		}
	}

	return sum
}

// spread is a median and a range.
type spread struct{ median, least, most float64 }

func spreadOf(values []float64) spread {
	sorted := slices.Sorted(slices.Values(values))

	return spread{median: sorted[len(sorted)/2], least: sorted[0], most: sorted[len(sorted)-1]}
}

func (s spread) String() string {
	return fmt.Sprintf("%8.2f (%.2f to %.2f)", s.median, s.least, s.most)
}

func TestCostTable(t *testing.T) {
	for _, deployment := range []costing.Deployment{costing.Kronvig(), costing.Abyssinia()} {
		t.Run(deployment.Name, func(t *testing.T) {
			for i := range deployment.Services {
				if *urgent > 0 {
					deployment.Services[i].Service.UrgentShare = *urgent
				}
			}

			results := make(map[string][]costing.Result)

			for seed := range *seeds {
				scenario := costing.NewScenario(deployment, *first+uint64(seed))
				for _, row := range rows {
					results[row] = append(results[row], evaluate(row, scenario))
				}
			}

			t.Logf("%d days; median (range); late calls in 10,000", *seeds)
			t.Logf("%-22s %-28s %-28s %-28s %s", "planner", "money a day", "of on demand, %", "late", "bought")

			for _, row := range rows {
				t.Logf("%-22s %-28s %-28s %-28s %s", row,
					spreadOf(column(results[row], money)),
					spreadOf(ratios(results[row], results[rowOnDemand])),
					spreadOf(column(results[row], late)),
					spreadOf(column(results[row], bought)))
			}

			check(t, results)
		})
	}
}

func check(t *testing.T, results map[string][]costing.Result) {
	t.Helper()

	for _, base := range []string{rowOnDemand, rowNoSpare} {
		saved := spreadOf(ratios(results[rowPolicy], results[base]))
		if got, want := saved.most, 50.0; got > want {
			t.Errorf("policy of %s on the worst day: got %.1f%%, want at most %.0f%%", base, got, want)
		}

		t.Logf("policy of %s, %%: %s", base, saved)
	}

	lateness, base := spreadOf(column(results[rowPolicy], late)), spreadOf(column(results[rowOnDemand], late))
	if got, want := lateness.median, base.median; got > want {
		t.Errorf("late calls of the policy in 10,000: got %.2f, want at most %.2f as on demand only", got, want)
	}

	if got, want := lateness.most, worstLate; got > want {
		t.Errorf("late calls of the policy in 10,000 on the worst day: got %.2f, want at most %.2f", got, want)
	}

	beyond := spreadOf(ratios(results[rowPolicy], results[rowForesight]))
	if got, want := beyond.median, 115.0; got > want {
		t.Errorf("policy of foresight of the load: got %.1f%%, want at most %.0f%%", got, want)
	}

	t.Logf("policy of foresight of the load, %%: %s", beyond)
	t.Logf("policy of the lower bound, %%: %s", spreadOf(ratios(results[rowPolicy], results[rowBound])))
}

func money(r costing.Result) float64 { return r.Money }

func late(r costing.Result) float64 { return 10000 * r.LateShare() }

func bought(r costing.Result) float64 { return float64(r.Bought) }

func column(results []costing.Result, of func(costing.Result) float64) []float64 {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, of(r))
	}

	return values
}

func ratios(results, base []costing.Result) []float64 {
	values := make([]float64, 0, len(results))
	for i, r := range results {
		values = append(values, 100*r.Money/base[i].Money)
	}

	return values
}
