package costing

import (
	"monsoonlever/fleet"
)

// Key names what an entry of a statement is for.
type Key struct {
	Service fleet.Service
	Account fleet.Account
}

// Entry is what one client account used of one service.
type Entry struct {
	Calls        uint64
	WithinTarget uint64
	// Work is the tokens or the requests by which money is shared out.
	Work  float64
	Money float64
}

// Share returns the share of calls within the target, 1 where there were none.
func (e Entry) Share() float64 {
	if e.Calls == 0 {
		return 1
	}

	return float64(e.WithinTarget) / float64(e.Calls)
}

// PerCall returns the money for one call within the target, 0 where there was
// none.
func (e Entry) PerCall() float64 {
	if e.WithinTarget == 0 {
		return 0
	}

	return e.Money / float64(e.WithinTarget)
}
