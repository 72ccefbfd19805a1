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
	// instanceStartTime is the time from a purchase until the instance accepts an order.
	instanceStartTime = 2 * time.Minute
	// storeBytesPerSecond is the throughput of the weight store for a single load.
	storeBytesPerSecond = 1 << 30
)

// serviceOf converts a service of the manifest to the input of the planner.
func serviceOf(m *manifest.Manifest, s manifest.Service) placement.Service {
	out := placement.Service{
		Name:      s.Name(),
		Capacity:  make(map[provider.Class]placement.Load),
		Min:       s.Capacity().Min(),
		Max:       s.Capacity().Max(),
		StartTime: instanceStartTime,
	}

	// After the loss of a failure domain, all of the load must still be served.
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
		out.Spec = specOf(model)
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

func specOf(model manifest.Model) placement.EngineSpec {
	return placement.EngineSpec{Model: model.Name(), Version: model.Version()}
}

// capacityOf returns the load that one server serves within the latency target.
func capacityOf(m *manifest.Manifest, s manifest.Service) placement.Load {
	if model, ok := modelOf(m, s); ok {
		return placement.Load{TokensPerSecond: model.DecodeTokensPerSecond()}
	}

	return placement.Load{RequestsPerSecond: float64(s.Concurrency()) / latencyTarget(s).Seconds()}
}

// latencyTarget returns the longest latency target of a plain service's calls, or one second if none
// is set.
func latencyTarget(s manifest.Service) time.Duration {
	longest := time.Duration(0)
	for _, call := range s.Calls() {
		longest = max(longest, call.LatencyTarget().Whole())
	}

	return cmp.Or(longest, time.Second)
}

// demand returns the measured load of a service. Without Demand it is estimated from the requests in
// flight: a server with as many requests in flight as it can serve concurrently within the latency
// target is at full capacity.
func (c *Controller) demand(v view, s manifest.Service) placement.Load {
	if c.Demand != nil {
		return c.Demand(v.manifest, s)
	}

	inFlight := int64(0)
	for _, server := range v.serversOf(s.Name()) {
		inFlight += server.InFlight
	}

	concurrency := s.Concurrency()
	if model, ok := modelOf(v.manifest, s); ok {
		concurrency = model.Concurrency()
	}

	if concurrency <= 0 {
		return placement.Load{}
	}

	return capacityOf(v.manifest, s).Scale(float64(inFlight) / float64(concurrency))
}

// offersOf returns the manifest's prices as offers, ordered by cell.
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
