package publication

// verdict is what an attempt came to.
type verdict int

const (
	// verdictOpen means that the attempt goes on.
	verdictOpen verdict = iota
	// verdictInForce means that the publication took effect.
	verdictInForce
	// verdictVoid means that the publication took no effect and never will.
	verdictVoid
	// verdictRefused means that the log took no record of the attempt.
	verdictRefused
	// verdictVersionUnknown means that nothing was appended, because the log does
	// not show the version in force.
	verdictVersionUnknown
	// verdictMissed means that the records that would tell are gone.
	verdictMissed
)
