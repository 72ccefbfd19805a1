package scheduling

import (
	"math/rand/v2"
	"slices"
	"time"

	"monsoonlever/ratelimit"
)

const (
	// allCandidates is the size up to which all servers of a pool are compared.
	allCandidates = 24
	// drawn is how many servers of a larger pool are drawn beside the homes of the
	// prompt. All instances know the same loads some hundred milliseconds late; if each
	// took the best of all servers, all would take the same one until it tells so.
	drawn = 3
	// attempts bounds the draws for a pool of which many servers are excluded.
	attempts = 2 * drawn
)

// candidates returns the servers that a request is compared over.
func candidates(now time.Time, pool []*server, preferred [homes]*server, r *Request) []*server {
	if len(pool) <= allCandidates {
		return pool
	}

	chosen := make([]*server, 0, homes+drawn)

	for _, one := range preferred {
		if one != nil {
			chosen = append(chosen, one)
		}
	}

	most := len(chosen) + drawn

	for range attempts {
		one := pool[rand.IntN(len(pool))]
		if !one.fits(now, r) || one.avoided(now) {
			continue
		}

		chosen = append(chosen, one)
		if len(chosen) == most {
			break
		}
	}

	if !slices.ContainsFunc(chosen, func(one *server) bool { return one.fits(now, r) && !one.avoided(now) }) {
		// Many servers are gone. Nothing is refused that any server could take.
		return pool
	}

	return chosen
}

// fits reports whether a request may be sent to a server now.
func (s *server) fits(now time.Time, r *Request) bool {
	return s.allowed(r) && !s.full(now) && !s.announcements.backoff.Load().blocks(now, r)
}

// allowed reports whether a request may be sent to a server once that has room.
func (s *server) allowed(r *Request) bool {
	if r.withoutLimit && s.announced().Rate != ratelimit.Unlimited {
		return false
	}

	return !s.leaves() && !excluded(r.Excluded, s.entry().ID)
}
