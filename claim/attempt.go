package claim

import "time"

// attempt is one request of a caller at this instance.
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
	// appendPending is set if the attempt's outcome or void must be appended (again).
	appendPending bool
	voidAppended  time.Time
	reason        Reason
	outcome       *outcome
}
