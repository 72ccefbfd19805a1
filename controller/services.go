package controller

import (
	"cmp"
	"slices"
	"time"

	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

const (
	// startTime is from a purchase until an instance takes an order.
	startTime = 2 * time.Minute
	// storeBytesPerSecond is the rate of the weight store for one load.
	storeBytesPerSecond = 1 << 30
)

// serviceOf returns a service of the manifest as the planner needs it.
func serviceOf(m *manifest.Manifest, s manifest.Service) placement.Service {
	out := placement.Service{
		Name:      s.Name(),
		Capacity:  make(map[provider.Class]placement.Load),
		Min:       s.Capacity().Min(),
		Max:       s.Capacity().Max(),
		StartTime: startTime,
	}

	// All of the load must go on after the loss of a failure domain.
	if m.SpareFailureDomains() > 0 {
		out.UrgentShare = 1
	}

	for _, call := range s.Calls() {
		out.Priority = max(out.Priority, call.Priority())
	}

	for _, class := range s.Classes() {
		out.Capacity[class] = capacityOf(m, s)
	}

	if model, ok := modelOf(m, s); ok {
		out.Spec = holdingOf(model)
		out.LoadTime = time.Duration(float64(model.WeightBytes()) / storeBytesPerSecond * float64(time.Second))
	}

	return out
}

// modelOf returns the first model of a service, which new runners load.
func modelOf(m *manifest.Manifest, s manifest.Service) (manifest.Model, bool) {
	models := s.Models()
	if len(models) == 0 {
		return manifest.Model{}, false
	}

	return m.Model(models[0])
}

func holdingOf(model manifest.Model) placement.EngineSpec {
	return placement.EngineSpec{Model: model.Name(), Version: model.Version()}
}

// capacityOf returns what one server carries at the latency target.
func capacityOf(m *manifest.Manifest, s manifest.Service) placement.Load {
	if model, ok := modelOf(m, s); ok {
		return placement.Load{TokensPerSecond: model.DecodeTokensPerSecond()}
	}

	return placement.Load{RequestsPerSecond: float64(s.Concurrency()) / patience(s).Seconds()}
}

// patience is the longest latency target of a plain service's calls.
func patience(s manifest.Service) time.Duration {
	longest := time.Duration(0)
	for _, call := range s.Calls() {
		longest = max(longest, call.LatencyTarget().Whole())
	}

	return cmp.Or(longest, time.Second)
}

// demand returns the measured load of a service. Without another source it is
// what the servers hold: a server that holds as many requests as it serves at
// once at the target carries its whole capacity.
func (c *Controller) demand(v view, s manifest.Service) placement.Load {
	if c.Demand != nil {
		return c.Demand(v.manifest, s)
	}

	held := int64(0)
	for _, server := range v.of(s.Name()) {
		held += server.Held
	}

	atOnce := s.Concurrency()
	if model, ok := modelOf(v.manifest, s); ok {
		atOnce = model.Concurrency()
	}

	if atOnce <= 0 {
		return placement.Load{}
	}

	return capacityOf(v.manifest, s).Scale(float64(held) / float64(atOnce))
}

// offersOf returns the manifest's prices as offers, by cell.
func offersOf(m *manifest.Manifest, region fleet.Region) []provider.Offer {
	var offers []provider.Offer

	for cell, price := range pricesOf(m, region) {
		if price > 0 {
			offers = append(offers, provider.Offer{
				Class: cell.Class, Domain: cell.Domain, Market: cell.Market, PricePerHour: price,
			})
		}
	}

	slices.SortFunc(offers, func(a, b provider.Offer) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Market, b.Market))
	})

	return offers
}
