package routing

import "monsoonlever/fleet"

// preferred returns the server that the request prefers, or nil if it has no preference
// or the server isn't usable.
func (p *pool) preferred(r *Request) *member {
	if r.preferred == "" {
		return nil
	}

	for _, m := range p.members.items {
		if m.server.id == r.preferred && m.usable(r) {
			return m
		}
	}

	return nil
}

// Versions returns the versions of a model for which a service has servers that are
// ready, in no particular order.
func (t *Table) Versions(service fleet.Service, model fleet.Model) []fleet.ModelVersion {
	s := t.current.Load()
	if s == nil {
		return nil
	}

	var versions []fleet.ModelVersion

	for key := range s.pools {
		if key.service == service && key.model == model && key.role == "" {
			versions = append(versions, key.version)
		}
	}

	return versions
}
