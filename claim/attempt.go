package claim

import "time"

// attempt is one request of a caller at this instance. claimDeadline is when its claim must
// have been read back; admitted is set once the attempt has the generation of its key;
// resolved is set once its caller has a verdict.
type attempt struct {
	id            AttemptID
	key           KeyID
	keyCreated    time.Time
	digest        Digest
	deadline      time.Time
	claimDeadline time.Time
	generation    uint32
	phase         attemptPhase
	admitted      bool
	resolved      bool
	// appendPending is set if the outcome or void of the attempt must be appended, or
	// appended again.
	appendPending  bool
	voidAppendedAt time.Time
	reason         Reason
	outcome        *outcome
}
