package placement

import (
	"slices"
	"time"

	"monsoonlever/provider"
)

// option is a cell with its current price and capacity for one service.
type option struct {
	cell Cell
	// price is the offered price, and riskPrice adds the risk premium.
	price     float64
	riskPrice float64
	// capacity is the load one instance carries at the latency target.
	capacity Load
	avoided  bool
}

// minAvoidWeight is the penalty weight at or above which a cell is avoided.
const minAvoidWeight = 0.25

// options returns the cells that a service can be placed in, sorted by cell.
func (s State) options(now time.Time, service Service) []option {
	var result []option

	for _, offer := range s.Offers {
		capacity, ok := service.Capacity[offer.Class]
		if !ok {
			continue
		}

		result = append(result, s.option(now, offer, capacity))
	}

	slices.SortFunc(result, func(a, b option) int {
		return a.cell.compare(b.cell)
	})

	return result
}

func (s State) option(now time.Time, offer provider.Offer, capacity Load) option {
	cell := Cell{Domain: offer.Domain, Class: offer.Class, Market: offer.Market}
	o := option{cell: cell, price: offer.PricePerHour, riskPrice: offer.PricePerHour, capacity: capacity}

	if offer.Market == provider.Reclaimable {
		o.riskPrice *= 1 + s.Config.RiskPremium + s.Config.RiskPremium*s.Reclaims.Weight(now, cell)
	}

	o.avoided = s.Refusals.Weight(now, cell) >= minAvoidWeight

	return o
}
