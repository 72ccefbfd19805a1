package costing

import (
	"math"
	"time"

	"monsoonlever/placement"
)

// LowerBound returns what no planner can go below. It knows the load, prices,
// reclaims and refusals of the whole day, buys parts of instances that are ready
// at once, pays for no spare, and has calls that can wait served in the cheapest
// minute of their patience.
func LowerBound(day ServiceDay) Result {
	prices := make([]float64, Minutes)
	for minute := range prices {
		prices[minute] = day.leastPrice(minute)
	}

	patience := int(day.Patience / time.Minute)

	var r Result

	for minute, load := range day.trace {
		urgent := load * day.Service.UrgentShare
		cheapest := prices[minute]

		for later := minute; later <= minute+patience && later < Minutes; later++ {
			cheapest = min(cheapest, prices[later])
		}

		r.Work += load
		r.Money += (urgent*prices[minute] + (load-urgent)*cheapest) / 60
	}

	return r
}

// leastPrice is the least price of one token a second at a minute.
func (d *ServiceDay) leastPrice(minute int) float64 {
	least := math.Inf(1)

	for _, o := range d.market.offers[minute] {
		least = min(least, o.PricePerHour/d.Service.Capacity[o.Class].TokensPerSecond)
	}

	return least
}

// Foresight plans with the true load of the minutes until a purchase serves,
// without headroom, and follows every price. Like the policy it has to survive
// the loss of any one failure domain at any minute.
type Foresight struct{}

// Name implements Planner.
func (Foresight) Name() string {
	return "foresight of the load"
}

// Moves implements Planner.
func (Foresight) Moves() int {
	return unbounded
}

// Plan implements Planner.
func (Foresight) Plan(v View) placement.Decision {
	lead := int(v.Day.Service.LeadTime()/time.Minute) + 1
	need := placement.Load{}

	for minute := v.Minute; minute <= v.Minute+lead && minute < Minutes; minute++ {
		need = need.Max(placement.Load{TokensPerSecond: v.Day.trace[minute]})
	}

	config := placement.DefaultConfig()
	config.MoveThreshold = 0

	return placement.Plan(v.Now, placement.State{
		Config:   config,
		Offers:   v.Offers,
		Refusals: v.Refusals,
		Reclaims: v.Reclaims,
		Services: []placement.ServiceState{{
			Service:        v.Day.Service,
			Forecast:       placement.Forecast{Now: v.Load, Need: need, Peak: need},
			InstanceCounts: v.Have,
		}},
	})
}
