package routing

import "monsoonlever/fleet"

// serverOrder is the order in which an entry instance prefers the servers of a pool.
type serverOrder struct {
	domain fleet.FailureDomain
}

// prefers reports whether a is preferred to b. A server whose last dial didn't fail
// comes first, then one that isn't silent, then the one with the lower utilisation.
// Only on a tie in all of these, a server in the failure domain of the entry instance
// comes first, then the cheaper one.
func (o *serverOrder) prefers(a, b *member) bool {
	if as, bs := a.server.dialFailed.Load(), b.server.dialFailed.Load(); as != bs {
		return bs
	}

	if as, bs := a.server.silent.Load(), b.server.silent.Load(); as != bs {
		return bs
	}

	if au, bu := a.utilisation(), b.utilisation(); au != bu {
		return au < bu
	}

	if an, bn := a.spec.domain == o.domain, b.spec.domain == o.domain; an != bn {
		return an
	}

	return a.spec.price < b.spec.price
}
