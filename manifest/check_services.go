package manifest

import (
	"slices"

	"monsoonlever/document"
	"monsoonlever/fleet"
	"monsoonlever/provider"
)

func (c *checker) checkServices() {
	if len(c.wire.Services) == 0 {
		c.report("services", "must hold a service")
	}

	seen := map[fleet.Service]bool{}

	for i, s := range c.wire.Services {
		at := document.Item("services", i)
		c.name(document.Child(at, "name"), string(s.Name))
		unique(c, seen, document.Child(at, "name"), s.Name)
		c.services[s.Name] = s.Kind
		c.checkPlaces(at, s)
		c.checkKind(at, s)
		c.checkCalls(document.Child(at, "calls"), s)
	}
}

func (c *checker) checkPlaces(at string, s wireService) {
	classes := document.Child(at, "classes")
	if len(s.Classes) == 0 {
		c.report(classes, "must hold a class")
	}

	seen := map[provider.Class]bool{}

	for i, class := range s.Classes {
		item := document.Item(classes, i)
		unique(c, seen, item, class)

		if _, ok := c.classes[class]; !ok {
			c.report(item, "is a class %q that no failure domain has", class)
		}
	}

	seenDomains := map[fleet.FailureDomain]bool{}

	for i, domain := range s.FailureDomains {
		item := document.Item(document.Child(at, "failureDomains"), i)
		unique(c, seenDomains, item, domain)

		switch {
		case !c.domains[domain]:
			c.report(item, "is an unknown failure domain %q", domain)
		case !c.sellsOne(domain, s.Classes):
			c.report(item, "has none of the service's classes")
		}
	}
}

func (c *checker) sellsOne(domain fleet.FailureDomain, classes []provider.Class) bool {
	return slices.ContainsFunc(classes, func(class provider.Class) bool {
		return c.sold[sale{domain: domain, class: class}]
	})
}

func (c *checker) checkKind(at string, s wireService) {
	models := document.Child(at, "models")
	concurrency := document.Child(at, "concurrency")

	switch s.Kind {
	case ModelService:
		if len(s.Models) == 0 {
			c.report(models, "must hold a model")
		}

		if s.Concurrency != 0 {
			c.report(concurrency, "is for plain services; a model has its own")
		}
	case PlainService:
		if len(s.Models) > 0 {
			c.report(models, "is for model services")
		}

		c.positive(concurrency, float64(s.Concurrency))
	default:
		c.report(document.Child(at, "kind"), "must be %q or %q", ModelService, PlainService)
	}

	seen := map[fleet.Model]bool{}

	for i, model := range s.Models {
		item := document.Item(models, i)
		unique(c, seen, item, model)

		if !c.models[model] {
			c.report(item, "is an unknown model %q", model)
		}
	}
}
