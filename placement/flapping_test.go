package placement_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"monsoonlever/fleet"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// changesPerHour limits the moves per hour. As many instances again may be retired
// and bought back because of load noise.
const changesPerHour = 4

// stepsPerHour is an stepsPerHour in steps of half a minute.
const stepsPerHour = 120

var domains = []fleet.FailureDomain{"ballerup-a", "ballerup-b", "taastrup-1", "taastrup-2"}

func steadyService() placement.Service {
	return placement.Service{
		Name:        service,
		Capacity:    map[provider.Class]placement.Load{"gpu": {TokensPerSecond: 1000}},
		UrgentShare: 0.8,
		Min:         2,
		Max:         20,
		StartTime:   time.Minute,
		LoadTime:    time.Minute,
	}
}

// drawOffers offers one class everywhere at prices that move by more than half.
func drawOffers(t *rapid.T) []provider.Offer {
	var offers []provider.Offer

	for _, domain := range domains {
		price := float64(rapid.IntRange(100, 250).Draw(t, "price")) / 100
		offers = append(offers,
			provider.Offer{Class: "gpu", Domain: domain, Market: provider.Reclaimable, PricePerHour: price},
			provider.Offer{Class: "gpu", Domain: domain, Market: provider.OnDemand, PricePerHour: 3})
	}

	return offers
}

func TestHoldsNoFlapping(t *testing.T) {
	most := 0

	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.faults = false
		w.stepDuration = 30 * second
		w.targets = nil
		w.maximum = 20

		for _, c := range w.controllers {
			c.reconciler.ChangesPerHour = changesPerHour
		}

		forecaster := placement.NewForecaster(2 * time.Minute)
		offers := drawOffers(t)
		var bought []int

		for range 2 * stepsPerHour {
			w.steadyTick(forecaster, &offers)
			bought = append(bought, w.purchases)
		}

		if got, want := len(w.cloud.running), 8; got < want {
			t.Fatalf("instances at the end: got %d, want at least %d", got, want)
		}

		// The first half hour fills the empty deployment.
		for i := stepsPerHour / 2; i+stepsPerHour < len(bought); i++ {
			got := bought[i+stepsPerHour] - bought[i]
			most = max(most, got)

			if got > 2*changesPerHour {
				t.Fatalf("instances bought in the hour from step %d at steady load: got %d, want at most %d", i, got, 2*changesPerHour)
			}
		}
	})

	t.Logf("most instances bought in an hour at steady load: %d", most)
}

// steadyTick observes a steady load with noise, plans again and runs a step.
func (w *simulation) steadyTick(forecaster *placement.Forecaster, offers *[]provider.Offer) {
	noise := float64(rapid.IntRange(-100, 100).Draw(w.t, "noise")) / 1000
	forecaster.Observe(w.now(), placement.Load{TokensPerSecond: 8000 * (1 + noise)})

	if w.step%10 == 0 {
		*offers = drawOffers(w.t)
	}

	if w.step%100 == 99 {
		w.grantNextController()
	}

	w.updatePlan(forecaster, *offers)
	w.tick()
}

func (w *simulation) updatePlan(forecaster *placement.Forecaster, offers []provider.Offer) {
	w.targets, w.limits = nil, nil

	c := w.newestHolder()
	if !c.reconciler.Synced(c.fence) {
		return
	}

	state := placement.State{Config: placement.DefaultConfig(), Offers: offers}
	state.Services = []placement.ServiceState{{
		Service: steadyService(), Forecast: forecaster.Forecast(), InstanceCounts: c.reconciler.InstanceCounts(service),
	}}
	decision := placement.Plan(w.now(), state)
	w.targets = decision.Targets
	w.limits = decision.Limits
}

func (w *simulation) grantNextController() {
	c := w.controllers[w.step/100%len(w.controllers)]
	w.restart(c)
	c.reconciler.ChangesPerHour = changesPerHour
	w.grant(c)
}

func (w *simulation) newestHolder() *controller {
	newest := w.controllers[0]

	for _, c := range w.controllers {
		if c.fence > newest.fence {
			newest = c
		}
	}

	return newest
}
