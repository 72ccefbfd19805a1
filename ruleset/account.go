package ruleset

import "monsoonlever/fleet"

// Account is a client account with its keys and its limit over all entry
// instances.
type Account struct {
	Name fleet.Account
	Keys []string
	// Priority ranks accounts before the priority of routes; 0 is the most urgent.
	Priority int
	// Rate and Burst are counted in tokens if InTokens is set, else in requests.
	// A rate of zero is no limit.
	Rate     float64
	Burst    float64
	InTokens bool
	// DefaultTokens is what a request counts that does not tell its tokens.
	DefaultTokens int
}
