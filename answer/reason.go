package answer

// Reason tells why a request was given up.
type Reason string

// The reasons for which a request is given up.
const (
	ReasonDeadline    Reason = "deadline"
	ReasonRetryBudget Reason = "retryBudget"
	ReasonNoServer    Reason = "noServer"
	ReasonCallerGone  Reason = "callerGone"
	// ReasonPrefix is given for a continuation that lacks tokens which the
	// caller may have seen.
	ReasonPrefix Reason = "prefixLost"
)
