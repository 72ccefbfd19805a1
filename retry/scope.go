package retry

import "monsoonlever/fleet"

// Scope identifies the calls that share a retry budget.
type Scope struct {
	service fleet.Service
	account fleet.Account
}

// NewScope returns the scope of a service and a client account.
func NewScope(s fleet.Service, a fleet.Account) Scope {
	return Scope{service: s, account: a}
}

// Service returns the service of the scope.
func (s Scope) Service() fleet.Service { return s.service }

// Account returns the client account of the scope.
func (s Scope) Account() fleet.Account { return s.account }
