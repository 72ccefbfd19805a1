package placement

// Outcome is the result of a purchase call.
type Outcome string

// The outcomes of a purchase.
const (
	OutcomeBought Outcome = "bought"
	// OutcomeRefused means that this call certainly bought nothing.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the call may take effect, now or later.
	OutcomeUnknown Outcome = "unknown"
)
