package publication

// Outcome tells what a record did to a State.
type Outcome int

// The outcomes of a record.
const (
	// Applied put a new manifest in force.
	Applied Outcome = iota + 1
	// Fenced gave the manifest in force a new version.
	Fenced
	// Stale had no effect: it was derived from another version.
	Stale
	// Invalid had no effect: its manifest has findings.
	Invalid
	// Undecided had an effect or none; the reader does not know the version that
	// was in force before it.
	Undecided
	// Undecodable was skipped.
	Undecodable
	// Confirmed is a checkpoint that agrees with what is known.
	Confirmed
	// Disagreeing is a checkpoint that was ignored: it contradicts what is known.
	Disagreeing
	// Useless is a checkpoint that was ignored: records after it were missed.
	Useless
	// Restored is a checkpoint that the state now starts from.
	Restored
	// Repeated was seen before.
	Repeated
)

var outcomeNames = map[Outcome]string{
	Applied:     "applied",
	Fenced:      "fenced",
	Stale:       "stale",
	Invalid:     "invalid",
	Undecided:   "undecided",
	Undecodable: "undecodable",
	Confirmed:   "confirmed",
	Disagreeing: "disagreeing",
	Useless:     "useless",
	Restored:    "restored",
	Repeated:    "repeated",
}

// String returns the outcome as metrics and logs show it.
func (o Outcome) String() string {
	return outcomeNames[o]
}
