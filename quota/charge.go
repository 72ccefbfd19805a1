package quota

import (
	"math"

	"monsoonlever/fleet"
)

// Charge is what one request takes from the limit of its client account.
type Charge struct {
	Account fleet.Account
	// Cost is in the unit of the account's limit.
	Cost float64
	// Priority ranks the requests of one account; 0 is the most urgent.
	Priority int
	// Continues is set for the rest of a stream whose begin its caller has. Lenders keep their reserve
	// for such requests while some are refused.
	Continues bool
}

// valid reports whether the cost is an amount. Any other would leave the account's totals undefined.
func (c Charge) valid() bool { return c.Cost > 0 && !math.IsInf(c.Cost, 1) }

// rank is the priority among those that a bucket tells apart.
func (c Charge) rank() int { return min(max(c.Priority, 0), priorities-1) }
