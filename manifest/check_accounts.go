package manifest

import (
	"monsoonlever/document"
	"monsoonlever/fleet"
)

func (c *checker) checkAccounts() {
	if len(c.wire.Accounts) == 0 {
		c.report("accounts", "must hold a client account")
	}

	seen := map[fleet.Account]bool{}

	for i, a := range c.wire.Accounts {
		at := document.Item("accounts", i)
		c.name(document.Child(at, "name"), string(a.Name))
		unique(c, seen, document.Child(at, "name"), a.Name)
		c.positive(document.Child(at, "weight"), a.Weight)
		c.priority(document.Child(at, "priorityCeiling"), a.PriorityCeiling)
		c.checkKeyHashes(document.Child(at, "keyHashes"), a)
		usesModel := c.checkAccountServices(document.Child(at, "services"), a)
		c.checkAccountLimits(document.Child(at, "limits"), a.Limits, usesModel)
	}
}

func (c *checker) checkKeyHashes(field string, a wireAccount) {
	if len(a.KeyHashes) == 0 {
		c.report(field, "must hold the SHA-256 of a caller's secret")
	}

	for i, text := range a.KeyHashes {
		item := document.Item(field, i)

		hash, ok := parseKeyHash(text)
		if !ok {
			c.report(item, "must be the SHA-256 of a caller's secret in 64 hex digits")

			continue
		}

		if other, taken := c.hashes[hash]; taken {
			c.report(item, "is a duplicate of a key of account %s", other)
		}

		c.hashes[hash] = string(a.Name)
	}
}

// checkAccountServices tells whether one of the services has models.
func (c *checker) checkAccountServices(field string, a wireAccount) bool {
	if len(a.Services) == 0 {
		c.report(field, "must hold a service")
	}

	seen := map[fleet.Service]bool{}
	usesModel := false

	for i, service := range a.Services {
		item := document.Item(field, i)
		unique(c, seen, item, service)

		kind, ok := c.services[service]
		if !ok {
			c.report(item, "is an unknown service %q", service)
		}

		usesModel = usesModel || kind == ModelService
	}

	return usesModel
}

func (c *checker) checkAccountLimits(field string, l wireLimits, usesModel bool) {
	c.positive(document.Child(field, "requestsPerSecond"), l.RequestsPerSecond)
	c.positive(document.Child(field, "concurrent"), float64(l.Concurrent))

	tokens := document.Child(field, "tokensPerSecond")
	if usesModel {
		c.positive(tokens, l.TokensPerSecond)
	} else {
		c.notNegative(tokens, l.TokensPerSecond)
	}
}
