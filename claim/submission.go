package claim

import "time"

// AttemptID numbers the attempts at one incarnation of an entry instance.
type AttemptID uint64

// Submission is one attempt at a request that may not be repeated.
type Submission struct {
	id       AttemptID
	key      Key
	digest   Digest
	deadline time.Time
}

// NewSubmission returns an attempt. After deadline its caller has no use for an
// answer, and it is not sent any more.
func NewSubmission(id AttemptID, key Key, digest Digest, deadline time.Time) Submission {
	return Submission{id: id, key: key, digest: digest, deadline: deadline}
}

// ID returns the number of the attempt.
func (r Submission) ID() AttemptID { return r.id }

// Key returns the key of the attempt.
func (r Submission) Key() Key { return r.key }

// Digest returns the digest of what the attempt asks for.
func (r Submission) Digest() Digest { return r.digest }

// Deadline returns the time after which the attempt is not sent any more.
func (r Submission) Deadline() time.Time { return r.deadline }
