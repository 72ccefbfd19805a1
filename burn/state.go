package burn

// State is the verdict on an error budget.
type State string

// The states.
const (
	// Quiet means that no request has been counted.
	Quiet State = "quiet"
	// OK means that the budget lasts.
	OK State = "ok"
	// SlowBurn means that the budget would not last its three days.
	SlowBurn State = "slowBurn"
	// FastBurn means that the budget would be gone within hours.
	FastBurn State = "fastBurn"
	// Exhausted means that the budget of three days is spent.
	Exhausted State = "exhausted"
)

const (
	// fastBurn is the rate that spends a fifth of a three days' budget in an
	// hour; slowBurn spends half of it in six.
	fastBurn = 14.4
	slowBurn = 6
)

// stateOf asks a short and a long window, so that a verdict comes soon and
// goes soon after the cause is mended.
func stateOf(rates []WindowRow, budgetLeft float64) State {
	if len(rates) < len(windowShapes) || rates[len(rates)-1].Requests == 0 {
		return Quiet
	}

	switch {
	case rates[0].BurnRate >= fastBurn && rates[1].BurnRate >= fastBurn:
		return FastBurn
	case budgetLeft <= 0:
		return Exhausted
	case rates[1].BurnRate >= slowBurn && rates[2].BurnRate >= slowBurn, rates[3].BurnRate >= 1:
		return SlowBurn
	default:
		return OK
	}
}
