package placement

// Outcome tells how a purchase ended.
type Outcome string

// The outcomes of a purchase.
const (
	OutcomeBought Outcome = "bought"
	// OutcomeRefused means that this call certainly bought nothing.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the call may take effect, now or later.
	OutcomeUnknown Outcome = "unknown"
)
