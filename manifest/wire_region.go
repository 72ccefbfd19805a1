package manifest

import (
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

type wireRegion struct {
	Name           fleet.Region        `json:"name"`
	FailureDomains []wireFailureDomain `json:"failureDomains"`
}

type wireFailureDomain struct {
	Name    fleet.FailureDomain `json:"name"`
	Classes []wireClass         `json:"classes"`
}

type wireClass struct {
	Name         provider.Class `json:"name"`
	Accelerators int            `json:"accelerators"`
	PricePerHour wirePrice      `json:"pricePerHour"`
}

type wirePrice struct {
	Reclaimable float64 `json:"reclaimable"`
	OnDemand    float64 `json:"onDemand"`
}
