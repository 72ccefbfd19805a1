package routing

import "monsoonlever/fleet"

// serverOrder compares two servers for an entry instance.
type serverOrder struct {
	domain fleet.FailureDomain
}

// prefers tells whether a goes before b: a server that can be dialled, then one
// that reports, then the less loaded, and only where both are equal the nearer
// and the cheaper.
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
