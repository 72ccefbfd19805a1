package costing

import (
	"math/rand/v2"

	"monsoonlever/fleet"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// Market holds the prices, reclaims and refusals of every minute.
type Market struct {
	offers [Minutes][]provider.Offer
	// struck holds the failure domains that lose their reclaimable instances.
	struck [Minutes][]fleet.FailureDomain
	// refusedUntil is the minute up to which purchases in a cell are refused,
	// by the minute at which the refusals start.
	refusals []refusal
}

type refusal struct {
	domain fleet.FailureDomain
	market provider.Market
	from   int
	until  int
}

const (
	wavesPerDay     = 3
	refusalMinutes  = 20
	waveGapMinutes  = 6
	waveGapSpread   = 8
	priceMinutes    = 60
	priceStep       = 0.06
	cheapestShare   = 0.25
	dearestShare    = 0.5
	shareOfOnDemand = 3
)

func newMarket(random *rand.Rand, domains []fleet.FailureDomain, classes []ClassPrice) *Market {
	m := &Market{}
	m.price(random, domains, classes)
	m.strike(random, domains)

	return m
}

// price walks the reclaimable price of each class and failure domain by the hour.
func (m *Market) price(random *rand.Rand, domains []fleet.FailureDomain, classes []ClassPrice) {
	for _, class := range classes {
		for _, domain := range domains {
			share := cheapestShare + random.Float64()*(dearestShare-cheapestShare)/2
			onDemand := class.Price * (1 + 0.1*random.Float64())

			for minute := range Minutes {
				if minute%priceMinutes == 0 {
					share = min(dearestShare, max(cheapestShare, share*(1+priceStep*random.NormFloat64())))
				}

				m.offers[minute] = append(m.offers[minute],
					provider.Offer{Class: class.Class, Domain: domain, Market: provider.Reclaimable, PricePerHour: share * class.Price},
					provider.Offer{Class: class.Class, Domain: domain, Market: provider.OnDemand, PricePerHour: onDemand})
			}
		}
	}
}

// strike makes waves of reclaims: one failure domain, then the next, each with
// refusals. In one of three the on-demand market refuses as well.
func (m *Market) strike(random *rand.Rand, domains []fleet.FailureDomain) {
	for wave := range wavesPerDay {
		minute := 60 + wave*Minutes/wavesPerDay + random.IntN(300)
		first := random.IntN(len(domains))
		length := 2 + random.IntN(len(domains)-2)

		for i := range length {
			domain := domains[(first+i)%len(domains)]
			m.struck[minute] = append(m.struck[minute], domain)
			m.refuse(domain, provider.Reclaimable, minute)

			if random.IntN(shareOfOnDemand) == 0 {
				m.refuse(domain, provider.OnDemand, minute)
			}

			minute += waveGapMinutes + random.IntN(waveGapSpread)
		}
	}
}

func (m *Market) refuse(domain fleet.FailureDomain, market provider.Market, minute int) {
	m.refusals = append(m.refusals, refusal{domain: domain, market: market, from: minute, until: minute + refusalMinutes})
}

// refused tells whether a purchase at minute is refused.
func (m *Market) refused(minute int, cell placement.Cell) bool {
	for _, r := range m.refusals {
		if r.domain == cell.Domain && r.market == cell.Market && minute >= r.from && minute < r.until {
			return true
		}
	}

	return false
}

// prices returns the price by cell at minute.
func (m *Market) prices(minute int) map[placement.Cell]float64 {
	prices := make(map[placement.Cell]float64, len(m.offers[minute]))
	for _, o := range m.offers[minute] {
		prices[placement.Cell{Domain: o.Domain, Class: o.Class, Market: o.Market}] = o.PricePerHour
	}

	return prices
}
