package placement

import (
	"fmt"
	"strings"
	"time"
)

// Plan computes how many instances each service should have in each cell.
//
// Starting from the current instances, it adds instances until the need is
// covered. Otherwise it removes instances that even the recent peak does not
// need, and moves instances to cheaper cells if that saves MoveThreshold.
func Plan(now time.Time, s State) Decision {
	var d Decision

	for _, service := range s.Services {
		options := s.options(now, service.Service)
		chosen, needed, why := chooseLayout(s.Config, service, options)

		for i, n := range chosen.counts {
			if n > 0 || service.InstanceCounts[options[i].cell] > 0 {
				d.Targets = append(d.Targets, Target{Service: service.Service.Name, Cell: options[i].cell, Count: n})
			}
		}

		d.Limits = append(d.Limits, Limit{Service: service.Service.Name, Max: chosen.maximum, Needed: needed})
		d.Explanations = append(d.Explanations, Explanation{
			Service: service.Service.Name,
			Text:    explain(now, s, service, chosen, why),
		})
	}

	return d
}

// chooseLayout returns the layout, the count without moves to save money, and the
// reason.
func chooseLayout(config Config, s ServiceState, options []option) (*layout, int, string) {
	chosen := newLayout(options, s.Service, s.Forecast.Need, s.InstanceCounts, s.Surge)
	before := chosen.total()
	chosen = chosen.cheapestGrowth()

	if chosen.total() > before {
		return chosen, chosen.total(), fmt.Sprintf("grows by %d", chosen.total()-before)
	}

	peak := newLayout(options, s.Service, s.Forecast.Peak.Max(s.Forecast.Need), s.InstanceCounts, s.Surge)
	if !peak.covers() {
		return chosen, before, "stays"
	}

	peak.shrink()
	kept := peak.total()

	if moved := peak.withCounts(peak.counts); moved.moveToCheaper(config.MoveThreshold) > 0 {
		return moved, kept, fmt.Sprintf("moves to save %.2f an hour", peak.price()-moved.price())
	}

	if kept < before {
		return peak, kept, fmt.Sprintf("gives up %d", before-kept)
	}

	return peak, kept, "stays"
}

func explain(now time.Time, s State, service ServiceState, chosen *layout, why string) string {
	var places []string

	price := 0.0

	for i, n := range chosen.counts {
		if n > 0 {
			places = append(places, fmt.Sprintf("%d in %s", n, chosen.options[i].cell))
			price += float64(n) * chosen.options[i].price
		}
	}

	all, left, worst := chosen.coverage()
	text := fmt.Sprintf("%d instances (%s), %s: expects %.1f requests/s and %.0f tokens/s, now %.1f and %.0f; carries %.0f%% of that at the target, %.0f%% without %s (needs %.0f%%); %.2f an hour",
		chosen.total(), strings.Join(places, ", "), why,
		service.Forecast.Need.RequestsPerSecond, service.Forecast.Need.TokensPerSecond,
		service.Forecast.Now.RequestsPerSecond, service.Forecast.Now.TokensPerSecond,
		100*all, 100*left, worst, 100*chosen.urgentShare, price)

	if !chosen.covers() {
		text += fmt.Sprintf("; NOT ENOUGH within the maximum of %d and the offers", chosen.maximum)
	}

	for _, o := range chosen.options {
		if at, ok := s.Refusals.LastAdded(o.cell); ok && o.avoided {
			text += fmt.Sprintf("; avoids %s, refused %s ago", o.cell, now.Sub(at).Round(time.Second))
		}
	}

	return text
}
