package costing

// Result is what one planner spent and met in one day of one service.
type Result struct {
	Money float64
	// Work and Late are in tokens, or requests of a plain service.
	Work float64
	Late float64
	// Bought counts the purchases that went through.
	Bought int
	// Reclaimed counts the instances that were taken back.
	Reclaimed int
}

// LateShare returns the share of the work that was late.
func (r Result) LateShare() float64 {
	if r.Work == 0 {
		return 0
	}

	return r.Late / r.Work
}

// Plus adds up the results of two services.
func (r Result) Plus(other Result) Result {
	return Result{
		Money:     r.Money + other.Money,
		Work:      r.Work + other.Work,
		Late:      r.Late + other.Late,
		Bought:    r.Bought + other.Bought,
		Reclaimed: r.Reclaimed + other.Reclaimed,
	}
}
