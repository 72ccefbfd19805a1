package placement

// Step tells what an intent record does.
type Step string

// The steps of an intent. Buy opens it, Retire makes the end of its instance
// irrevocable, and Close ends it once there is no instance and can be none.
const (
	StepBuy    Step = "buy"
	StepRetire Step = "retire"
	StepClose  Step = "close"
)
