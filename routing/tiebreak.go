package routing

import "monsoonlever/fleet"

// tieBreak compares two servers for an entry instance.
type tieBreak struct {
	domain fleet.FailureDomain
}

// better tells whether a goes before b: a server that can be dialled, then one
// that reports, then the less loaded, and only where both are equal the nearer
// and the cheaper.
func (t *tieBreak) better(a, b *member) bool {
	if as, bs := a.server.suspect.Load(), b.server.suspect.Load(); as != bs {
		return bs
	}

	if as, bs := a.server.silent.Load(), b.server.silent.Load(); as != bs {
		return bs
	}

	if au, bu := a.utilisation(), b.utilisation(); au != bu {
		return au < bu
	}

	if an, bn := a.spec.domain == t.domain, b.spec.domain == t.domain; an != bn {
		return an
	}

	return a.spec.price < b.spec.price
}
