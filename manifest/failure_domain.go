package manifest

import (
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

// FailureDomain is a part of a region with its own prices.
type FailureDomain struct {
	region  fleet.Region
	wire    *wireFailureDomain
	classes []Class
}

// Name returns the failure domain's name, unique in the manifest.
func (d FailureDomain) Name() fleet.FailureDomain { return d.wire.Name }

// Region returns the region that the failure domain is in.
func (d FailureDomain) Region() fleet.Region { return d.region }

// Classes returns the machine classes that are sold there.
func (d FailureDomain) Classes() []Class { return clone(d.classes) }

// Class returns the machine class of a name, if it is sold there.
func (d FailureDomain) Class(name provider.Class) (Class, bool) {
	for _, c := range d.classes {
		if c.Name() == name {
			return c, true
		}
	}

	return Class{}, false
}
