package scheduling

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// maxFullComparison is the size of a pool up to which all servers are compared.
	maxFullComparison = 24
	// sampledServers is how many servers of a larger pool are sampled in addition to the homes of
	// the prompt. All instances know the same loads, some hundred milliseconds late: if each took
	// the best of all servers, all would take the same one until its next report.
	sampledServers = 3
	// maxDraws bounds the draws for a pool in which many servers can't be used.
	maxDraws = 2 * sampledServers
)

// candidates returns the servers among which a request is placed.
func candidates(now time.Time, pool []*server, preferred [homeCount]*server, paces *servicePace, r *Request) []*server {
	if len(pool) <= maxFullComparison {
		return pool
	}

	chosen := make([]*server, 0, homeCount+sampledServers)

	for _, srv := range preferred {
		if srv != nil {
			chosen = append(chosen, srv)
		}
	}

	maxChosen := len(chosen) + sampledServers

	for range maxDraws * paces.maxDrawFactor() {
		srv := pool[rand.IntN(len(pool))]
		if !paces.accepted(srv) || !srv.eligible(now, r) || srv.isAvoided(now) {
			continue
		}

		chosen = append(chosen, srv)
		if len(chosen) == maxChosen {
			break
		}
	}

	if !slices.ContainsFunc(chosen, func(srv *server) bool { return srv.eligible(now, r) && !srv.isAvoided(now) }) {
		// Many servers are unavailable. No request is refused that any server could take.
		return pool
	}

	return chosen
}

// eligible reports whether a request may be sent to the server now.
func (s *server) eligible(now time.Time, r *Request) bool {
	return s.allowed(r) && !s.full(now) && !s.announcements.backoff.Load().blocks(now, r)
}

// allowed reports whether a request may be sent to the server once it has room.
func (s *server) allowed(r *Request) bool {
	if r.onlyUnlimited && s.needsPermit() {
		return false
	}

	return !s.isLeaving() && !excluded(r.Excluded, s.entry().ID)
}
