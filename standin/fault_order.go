package standin

// FaultKind names what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	// Clear ends every fault but Kill.
	Clear FaultKind = "clear"
	// Slow adds Delay to each call for Duration.
	Slow FaultKind = "slow"
	// Down refuses each call for Duration, or drops it unanswered if Silent.
	Down FaultKind = "down"
	// Freeze holds calls and streams for Duration; they go on afterwards.
	Freeze FaultKind = "freeze"
	// EffectWithoutAnswer runs the next Count calls that change something, or
	// each with Probability from Seed, and drops the answer.
	EffectWithoutAnswer FaultKind = "effectWithoutAnswer"
	// LoseAnswer is EffectWithoutAnswer by the name that plain services use.
	LoseAnswer FaultKind = "loseAnswer"
	// Kill ends the server: its listener and all its connections.
	Kill FaultKind = "kill"
	// Leaving is reported with the load; calls are still taken.
	Leaving FaultKind = "leaving"
	// Drain is Leaving, and new calls are refused before they start.
	Drain FaultKind = "drain"
	// KillStream breaks the next Count streams after AfterTokens tokens.
	KillStream FaultKind = "killStream"
	// TruncateStream ends the next Count streams after AfterTokens tokens in good
	// order, but without the finish event.
	TruncateStream FaultKind = "truncateStream"
	// RepeatTokens sends each event of the next Count streams twice.
	RepeatTokens FaultKind = "repeatTokens"
	// CrossTokens adds, to the next Count streams, events of another attempt.
	CrossTokens FaultKind = "crossTokens"
	// GarbleStream breaks the JSON of the event after AfterTokens tokens.
	GarbleStream FaultKind = "garbleStream"
)

// FaultOrder asks for one fault. A Duration of zero lasts until Clear, and a
// Count of zero is taken as one where no Probability is given.
type FaultOrder struct {
	Kind        FaultKind `json:"kind"`
	Duration    Duration  `json:"duration,omitempty"`
	Delay       Duration  `json:"delay,omitempty"`
	Silent      bool      `json:"silent,omitempty"`
	Count       int       `json:"count,omitempty"`
	Probability float64   `json:"probability,omitempty"`
	Seed        uint64    `json:"seed,omitempty"`
	AfterTokens int       `json:"afterTokens,omitempty"`
}
