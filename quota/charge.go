package quota

import "monsoonlever/fleet"

// Charge is what one request takes from the limit of its client account.
type Charge struct {
	Account fleet.Account
	// Cost is in the unit of the account's limit.
	Cost float64
	// Priority ranks the requests of one account; 0 is the most urgent.
	Priority int
}

// rank is the priority among those that a bucket tells apart.
func (c Charge) rank() int { return min(max(c.Priority, 0), priorities-1) }
