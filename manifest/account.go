package manifest

import (
	"slices"

	"monsoonlever/fleet"
)

// Account is a client account with its share and its limits.
type Account struct {
	wire *wireAccount
}

// Name returns the account's name.
func (a Account) Name() fleet.Account { return a.wire.Name }

// Weight returns the account's share relative to the others under load.
func (a Account) Weight() float64 { return a.wire.Weight }

// Limits returns the account's limits over all entry instances.
func (a Account) Limits() Limits { return Limits{wire: a.wire.Limits} }

// Services returns the services that the account may call.
func (a Account) Services() []fleet.Service { return clone(a.wire.Services) }

// Allows tells whether the account may call the service.
func (a Account) Allows(service fleet.Service) bool {
	return slices.Contains(a.wire.Services, service)
}

// PriorityCeiling returns the greatest priority that the account's calls get.
func (a Account) PriorityCeiling() fleet.Priority { return a.wire.PriorityCeiling }
