package manifest

import "monsoonlever/provider"

// Class is a machine class at its prices in one failure domain.
type Class struct {
	wire *wireClass
}

// Name returns the name of the class at the cloud API.
func (c Class) Name() provider.Class { return c.wire.Name }

// Accelerators returns the number of accelerators, 0 for a plain machine.
func (c Class) Accelerators() int { return c.wire.Accelerators }

// PricePerHour returns the price in the manifest's currency.
func (c Class) PricePerHour(market provider.Market) float64 {
	if market == provider.OnDemand {
		return c.wire.PricePerHour.OnDemand
	}

	return c.wire.PricePerHour.Reclaimable
}
