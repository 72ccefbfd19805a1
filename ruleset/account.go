package ruleset

import "monsoonlever/fleet"

// Account is a client account with its keys and its rate limit, which is shared
// by all entry instances.
type Account struct {
	Name fleet.Account
	Keys []string
	// Priority ranks accounts; 0 is the most urgent. It takes precedence over the
	// priority of routes.
	Priority int
	// Rate (per second) and Burst are counted in tokens if InTokens is set, else in
	// requests. A rate of zero means no limit.
	Rate     float64
	Burst    float64
	InTokens bool
	// DefaultTokens is the number of tokens assumed for a request that does not
	// state its own.
	DefaultTokens int
}
