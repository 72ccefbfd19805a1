package controller

import (
	"time"

	"monsoonlever/fleet"
	"monsoonlever/manifest"
	"monsoonlever/placement"
	"monsoonlever/provider"
)

// Costs records the cost of a service.
type Costs interface {
	AddCost(service fleet.Service, cost float64)
}

const (
	// costInterval is the time between two records of cost.
	costInterval = time.Second
	// maxCostPeriod bounds the time that one record covers. A holder that was paused for longer
	// does not know whether another holder recorded that time.
	maxCostPeriod = 5 * time.Second
)

// countCost records the cost of the instances since the last record under this grant.
func (c *Controller) countCost(v view) {
	last := c.grant.costCountedAt
	if !last.IsZero() && v.now.Sub(last) < costInterval {
		return
	}

	c.grant.costCountedAt = v.now

	if last.IsZero() || !c.grant.listing.known {
		return
	}

	hours := min(v.now.Sub(last), maxCostPeriod).Hours()

	for service, perHour := range c.costPerHour(v) {
		c.Costs.AddCost(service, perHour*hours)
	}
}

// costPerHour returns the current price per hour of each service's instances.
func (c *Controller) costPerHour(v view) map[fleet.Service]float64 {
	prices := pricesOf(v.manifest, c.Region)
	perHour := make(map[fleet.Service]float64)

	for _, instance := range c.grant.listing.instances {
		if service, ok := c.serviceOf(v, instance); ok {
			perHour[service] += prices[cellOf(instance)]
		}
	}

	return perHour
}

// serviceOf returns the service of an instance: from the instance list, or else from the purchase
// intent.
func (c *Controller) serviceOf(v view, instance provider.Instance) (fleet.Service, bool) {
	if s, ok := v.server(instance.ID); ok {
		return s.Service, true
	}

	intent, ok := c.intentOf(instance)

	return intent.Service, ok
}

func (c *Controller) intentOf(instance provider.Instance) (placement.Intent, bool) {
	token, ok := placement.ParseToken(c.owner(), instance.Token)
	if !ok {
		return placement.Intent{}, false
	}

	for _, intent := range c.reconciler.Ledger().Intents() {
		if intent.Token == token {
			return intent, true
		}
	}

	return placement.Intent{}, false
}

func cellOf(i provider.Instance) placement.Cell {
	return placement.Cell{Domain: i.Domain, Class: i.Class, Market: i.Market}
}

// pricesOf returns the price per hour of every cell of a region, from the manifest.
func pricesOf(m *manifest.Manifest, region fleet.Region) map[placement.Cell]float64 {
	prices := make(map[placement.Cell]float64)

	for name, domain := range domainsOf(m, region) {
		for _, class := range domain.Classes() {
			for _, market := range []provider.Market{provider.Reclaimable, provider.OnDemand} {
				cell := placement.Cell{Domain: name, Class: class.Name(), Market: market}
				prices[cell] = class.PricePerHour(market)
			}
		}
	}

	return prices
}
