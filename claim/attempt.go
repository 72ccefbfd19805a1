package claim

import "time"

// attempt is one request of a caller at this instance.
type attempt struct {
	id         RequestID
	key        KeyID
	keyTime    time.Time
	digest     Digest
	deadline   time.Time
	claimBy    time.Time
	generation uint32
	phase      attemptPhase
	admitted   bool
	answered   bool
	// owes is set if the attempt's outcome or void must be appended (again).
	owes    bool
	voidAt  time.Time
	reason  Reason
	outcome *outcome
}
