package manifest

import (
	"monsoonlever/document"
	"monsoonlever/fleet"
)

func (c *checker) checkCapacity() {
	spare := c.wire.Capacity.SpareFailureDomains
	c.notNegative("capacity.spareFailureDomains", float64(spare))

	for _, r := range c.wire.Regions {
		if spare > 0 && spare >= len(r.FailureDomains) {
			c.report("capacity.spareFailureDomains", "must leave a failure domain of region %s", r.Name)
		}
	}

	c.checkServiceCapacities()
}

func (c *checker) checkServiceCapacities() {
	seen := map[fleet.Service]bool{}

	for i, s := range c.wire.Capacity.Services {
		at := document.Item("capacity.services", i)
		unique(c, seen, document.Child(at, "service"), s.Service)

		if _, ok := c.services[s.Service]; !ok {
			c.report(document.Child(at, "service"), "is an unknown service %q", s.Service)
		}

		c.notNegative(document.Child(at, "min"), float64(s.Min))
		c.positive(document.Child(at, "max"), float64(s.Max))

		if s.Max > 0 && s.Min > s.Max {
			c.report(document.Child(at, "min"), "is above max, which is %d", s.Max)
		}
	}

	for i, s := range c.wire.Services {
		if s.Name != "" && !seen[s.Name] {
			c.report(document.Item("services", i), "has no bounds in capacity.services")
		}
	}
}
