package manifest

import "monsoonlever/document"

func (c *checker) checkModels() {
	for i, m := range c.wire.Models {
		at := document.Item("models", i)
		c.name(document.Child(at, "name"), string(m.Name))
		unique(c, c.models, document.Child(at, "name"), m.Name)
		c.name(document.Child(at, "version"), string(m.Version))
		c.positive(document.Child(at, "weightBytes"), float64(m.WeightBytes))
		c.positive(document.Child(at, "prefillTokensPerSecond"), m.PrefillTokensPerSecond)
		c.positive(document.Child(at, "decodeTokensPerSecond"), m.DecodeTokensPerSecond)
		c.positive(document.Child(at, "concurrency"), float64(m.Concurrency))

		seen := map[string]bool{}

		for j, adapter := range m.Adapters {
			item := document.Item(document.Child(at, "adapters"), j)
			c.name(item, adapter)
			unique(c, seen, item, adapter)
		}
	}
}
