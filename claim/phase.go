package claim

// keyPhase is the state of a key according to the records read.
type keyPhase uint8

const (
	// keyFree means that the current generation has no claim.
	keyFree keyPhase = iota
	// keyClaimed means that the key has a claimant, but no outcome was read.
	keyClaimed
	// keyCompleted means that the key has an outcome.
	keyCompleted
)

// attemptPhase is the state of an attempt at this instance.
type attemptPhase uint8

const (
	// attemptClaiming waits until its own claim is read back.
	attemptClaiming attemptPhase = iota
	// attemptJoined waits for the outcome of another attempt with the same key.
	attemptJoined
	// attemptDispatched has won its key; its call may have been sent.
	attemptDispatched
	// attemptCompleted has an outcome whose record was not read back yet.
	attemptCompleted
	// attemptVoiding did not run; its void was not read back yet.
	attemptVoiding
)
