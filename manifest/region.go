package manifest

import "monsoonlever/fleet"

// Region is a group of failure domains.
type Region struct {
	wire    *wireRegion
	domains []FailureDomain
}

// Name returns the region's name.
func (r Region) Name() fleet.Region { return r.wire.Name }

// FailureDomains returns the failure domains in the order of the document.
func (r Region) FailureDomains() []FailureDomain { return clone(r.domains) }
