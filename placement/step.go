package placement

// Step is the state change that an intent record makes.
type Step string

// The steps of an intent. StepBuy opens it, StepRetire irrevocably retires its
// instance, and StepClose removes it once no instance exists or can be created.
const (
	StepBuy    Step = "buy"
	StepRetire Step = "retire"
	StepClose  Step = "close"
)
