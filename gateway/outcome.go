package gateway

// outcome is how a request ended: a code of the table of errors, or one of these.
type outcome string

const (
	outcomeAnswered   outcome = "answered"
	outcomeCallerGone outcome = "callerGone"
)

func outcomeOf(o Observation) outcome {
	switch {
	case o.CallerGone:
		return outcomeCallerGone
	case o.Refused != nil:
		return outcome(o.Refused.Code())
	default:
		return outcomeAnswered
	}
}
