package claim

import "time"

// AttemptID identifies an attempt within one incarnation of an entry instance.
type AttemptID uint64

// Submission is one attempt at a non-idempotent request, as submitted to a Table.
type Submission struct {
	id       AttemptID
	key      Key
	digest   Digest
	deadline time.Time
}

// NewSubmission returns a submission. The attempt is only dispatched before its deadline; a
// zero deadline means the latest one that the Table allows.
func NewSubmission(id AttemptID, key Key, digest Digest, deadline time.Time) Submission {
	return Submission{id: id, key: key, digest: digest, deadline: deadline}
}

// ID returns the ID of the attempt.
func (s Submission) ID() AttemptID { return s.id }

// Key returns the key of the attempt.
func (s Submission) Key() Key { return s.key }

// Digest returns the digest of the request's content.
func (s Submission) Digest() Digest { return s.digest }

// Deadline returns the time before which the attempt must be dispatched.
func (s Submission) Deadline() time.Time { return s.deadline }
