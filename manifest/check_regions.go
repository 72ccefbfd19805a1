package manifest

import (
	"monsoonlever/document"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

func (c *checker) checkRegions() {
	if len(c.wire.Regions) == 0 {
		c.report("regions", "must hold a region")
	}

	seen := map[fleet.Region]bool{}

	for i, r := range c.wire.Regions {
		at := document.Item("regions", i)
		c.name(document.Child(at, "name"), string(r.Name))
		unique(c, seen, document.Child(at, "name"), r.Name)
		c.checkFailureDomains(document.Child(at, "failureDomains"), r.FailureDomains)
	}
}

func (c *checker) checkFailureDomains(field string, domains []wireFailureDomain) {
	if len(domains) == 0 {
		c.report(field, "must hold a failure domain")
	}

	for i, d := range domains {
		at := document.Item(field, i)
		c.name(document.Child(at, "name"), string(d.Name))
		unique(c, c.domains, document.Child(at, "name"), d.Name)
		c.checkClasses(document.Child(at, "classes"), d.Classes)

		for _, class := range d.Classes {
			c.sold[sale{domain: d.Name, class: class.Name}] = true
		}
	}
}

func (c *checker) checkClasses(field string, classes []wireClass) {
	if len(classes) == 0 {
		c.report(field, "must hold a class")
	}

	seen := map[provider.Class]bool{}

	for i, class := range classes {
		at := document.Item(field, i)
		c.name(document.Child(at, "name"), string(class.Name))
		unique(c, seen, document.Child(at, "name"), class.Name)
		c.notNegative(document.Child(at, "accelerators"), float64(class.Accelerators))
		c.positive(document.Child(at, "pricePerHour.reclaimable"), class.PricePerHour.Reclaimable)
		c.positive(document.Child(at, "pricePerHour.onDemand"), class.PricePerHour.OnDemand)

		known, ok := c.classes[class.Name]
		if ok && known != class.Accelerators {
			c.report(document.Child(at, "accelerators"), "is %d here and %d in another failure domain", class.Accelerators, known)
		}

		c.classes[class.Name] = class.Accelerators
	}
}
