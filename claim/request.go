package claim

import "time"

// RequestID numbers the attempts at one incarnation of an entry instance.
type RequestID uint64

// Request is one attempt at a request that may not be repeated.
type Request struct {
	id       RequestID
	key      Key
	digest   Digest
	deadline time.Time
}

// NewRequest returns an attempt. After deadline its caller has no use for an
// answer, and it is not sent any more.
func NewRequest(id RequestID, key Key, digest Digest, deadline time.Time) Request {
	return Request{id: id, key: key, digest: digest, deadline: deadline}
}

// ID returns the number of the attempt.
func (r Request) ID() RequestID { return r.id }

// Key returns the key of the attempt.
func (r Request) Key() Key { return r.key }

// Digest returns the digest of what the attempt asks for.
func (r Request) Digest() Digest { return r.digest }

// Deadline returns the time after which the attempt is not sent any more.
func (r Request) Deadline() time.Time { return r.deadline }
