package routing

import "monsoonlever/fleet"

// Request describes a request for which a server is to be picked.
type Request struct {
	key             Key
	prefix          uint64
	preferred       fleet.InstanceID
	idempotent      bool
	excluded        []fleet.InstanceID
	excludedDomains []fleet.FailureDomain
}

// NewRequest returns a request that any server of the key can take.
func NewRequest(key Key) Request {
	return Request{key: key}
}

// WithPrefix sets the prompt prefix of the request. A server that may have it cached is
// picked if its load permits.
func (r Request) WithPrefix(prefix uint64) Request {
	r.prefix = prefix

	return r
}

// Preferring sets the server that is picked whenever it is usable, regardless of its
// load, such as the one that holds the KV cache of the answer. An empty id sets no
// preference.
func (r Request) Preferring(id fleet.InstanceID) Request {
	r.preferred = id

	return r
}

// WithIdempotent marks the request as idempotent, which allows it to probe an ejected
// server.
func (r Request) WithIdempotent() Request {
	r.idempotent = true

	return r
}

// Excluding excludes servers, such as those that were tried already. The request keeps
// the slice.
func (r Request) Excluding(ids []fleet.InstanceID) Request {
	r.excluded = ids

	return r
}

// ExcludingDomains excludes all servers of failure domains. The request keeps the
// slice.
func (r Request) ExcludingDomains(domains []fleet.FailureDomain) Request {
	r.excludedDomains = domains

	return r
}

// Key returns the key of the servers that can take the request.
func (r Request) Key() Key { return r.key }

// excludes reports whether the request excludes the server. It runs for every
// candidate; the linear search is cheap since both slices are empty except for retries.
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
