package gateway

// outcome is the metric label for the result of a request: a refusal.Code or one of
// these constants.
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
