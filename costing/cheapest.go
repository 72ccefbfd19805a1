package costing

import (
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// plainHeadroom is what the plain baselines add to the measured load.
const plainHeadroom = 1.2

// unbounded lets a baseline follow every change.
const unbounded = 1 << 20

// CheapestFirst holds the measured load with some headroom in the cheapest cell
// that did not refuse of late.
type CheapestFirst struct{}

// Name implements Planner.
func (CheapestFirst) Name() string {
	return "cheapest first"
}

// Moves implements Planner.
func (CheapestFirst) Moves() int {
	return unbounded
}

// Plan implements Planner.
func (CheapestFirst) Plan(v View) placement.Decision {
	offer, ok := cheapestOffer(v, anyOffer)
	if !ok {
		return placement.Decision{}
	}

	capacity := v.Day.Service.Capacity[offer.Class].TokensPerSecond
	count := max(v.Day.Service.Min, instancesFor(plainHeadroom*v.Load.TokensPerSecond, capacity))

	return placement.Decision{
		Targets: []placement.Target{{Service: v.Day.Service.Name, Cell: cellOf(offer), Count: count}},
		Limits:  []placement.Limit{{Service: v.Day.Service.Name, Max: unbounded, Needed: count}},
	}
}

// cheapestOffer returns the offer with the least price for its capacity.
func cheapestOffer(v View, filter offerFilter) (provider.Offer, bool) {
	var best provider.Offer

	found := false

	for _, o := range filter.apply(v.Offers) {
		if v.Refusals.Weight(v.Now, cellOf(o)) >= 0.25 {
			continue
		}

		if !found || unitPrice(v, o) < unitPrice(v, best) {
			best, found = o, true
		}
	}

	return best, found
}

func unitPrice(v View, o provider.Offer) float64 {
	return o.PricePerHour / v.Day.Service.Capacity[o.Class].TokensPerSecond
}

func cellOf(o provider.Offer) placement.Cell {
	return placement.Cell{Domain: o.Domain, Class: o.Class, Market: o.Market}
}
