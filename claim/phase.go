package claim

// keyPhase is where a key stands by the records read.
type keyPhase uint8

const (
	// keyFree has no claim in its present generation.
	keyFree keyPhase = iota
	// keyClaimed has a claimant, of whose call no outcome was read.
	keyClaimed
	// keyCompleted has an outcome.
	keyCompleted
)

// attemptPhase is where an attempt of this instance stands.
type attemptPhase uint8

const (
	// attemptClaiming waits to read its own claim.
	attemptClaiming attemptPhase = iota
	// attemptJoined waits for the outcome of another attempt.
	attemptJoined
	// attemptDispatched has won its key and may be on its way.
	attemptDispatched
	// attemptCompleted has an outcome that isn't durable yet.
	attemptCompleted
	// attemptVoiding sent nothing, and its void isn't durable yet.
	attemptVoiding
)
