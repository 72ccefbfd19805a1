package routing

import "monsoonlever/fleet"

// Request says what a backend server is wanted for.
type Request struct {
	key             Key
	prefix          uint64
	preferred       fleet.InstanceID
	idempotent      bool
	excluded        []fleet.InstanceID
	excludedDomains []fleet.FailureDomain
}

// NewRequest returns a request for any server of key.
func NewRequest(key Key) Request {
	return Request{key: key}
}

// WithPrefix names the prompt prefix that a server may hold in its cache.
func (r Request) WithPrefix(prefix uint64) Request {
	r.prefix = prefix

	return r
}

// Preferring names the server that is taken if it can be, whatever its load, as
// one that holds the KV cache of the answer. Empty prefers none.
func (r Request) Preferring(id fleet.InstanceID) Request {
	r.preferred = id

	return r
}

// WithIdempotent allows the request to probe an ejected server.
func (r Request) WithIdempotent() Request {
	r.idempotent = true

	return r
}

// Excluding leaves out servers, such as those that were tried already. The
// request keeps the slice.
func (r Request) Excluding(ids []fleet.InstanceID) Request {
	r.excluded = ids

	return r
}

// ExcludingDomains leaves out whole failure domains. The request keeps the slice.
func (r Request) ExcludingDomains(domains []fleet.FailureDomain) Request {
	r.excludedDomains = domains

	return r
}

// Key returns the key of the wanted servers.
func (r Request) Key() Key { return r.key }

// excludes is called for every candidate; the slices are empty but for retries.
func (r *Request) excludes(m *member) bool {
	for _, id := range r.excluded {
		if id == m.server.id {
			return true
		}
	}

	for _, domain := range r.excludedDomains {
		if domain == m.spec.domain {
			return true
		}
	}

	return false
}
