package costing

import (
	"monsoonlever/fleet"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// EvenSpread holds the measured load with some headroom in equal parts in every
// failure domain, at the cheapest reclaimable offer of each.
type EvenSpread struct{}

// Name implements Planner.
func (EvenSpread) Name() string {
	return "even spread"
}

// Moves implements Planner.
func (EvenSpread) Moves() int {
	return unbounded
}

// Plan implements Planner.
func (EvenSpread) Plan(v View) placement.Decision {
	var (
		d      placement.Decision
		offers []provider.Offer
	)

	for _, domain := range domainsOf(v.Offers) {
		offer, ok := cheapestOffer(v, func(o provider.Offer) bool {
			return o.Domain == domain && reclaimableOffer(o)
		})
		if ok {
			offers = append(offers, offer)
		}
	}

	total := 0

	for _, offer := range offers {
		capacity := v.Day.Service.Capacity[offer.Class].TokensPerSecond
		count := instancesFor(plainHeadroom*v.Load.TokensPerSecond/float64(len(offers)), capacity)
		total += count
		d.Targets = append(d.Targets, placement.Target{Service: v.Day.Service.Name, Cell: cellOf(offer), Count: count})
	}

	d.Limits = []placement.Limit{{Service: v.Day.Service.Name, Max: unbounded, Needed: total}}

	return d
}

func domainsOf(offers []provider.Offer) []fleet.FailureDomain {
	var domains []fleet.FailureDomain

	seen := make(map[fleet.FailureDomain]bool)

	for _, o := range offers {
		if !seen[o.Domain] {
			seen[o.Domain] = true
			domains = append(domains, o.Domain)
		}
	}

	return domains
}
