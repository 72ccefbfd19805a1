package scheduling

import "math/rand/v2"

const (
	// allCandidates is the size up to which all servers of a pool are compared.
	allCandidates = 24
	// drawn is how many servers of a larger pool are drawn beside the homes of the
	// prompt. All instances know the same loads some hundred milliseconds late; if each
	// took the best of all servers, all would take the same one until it tells so.
	drawn = 3
	// homes is how many servers a common part has that take it in their order, so that
	// what overflows from one home is found again at the next.
	homes = 3
	// attempts bounds the draws for a pool of which many servers are excluded.
	attempts = 2 * drawn
)

// candidates returns the servers that a request is compared over.
func (s *Scheduler) candidates(pool []*server, r *Request) []*server {
	if len(pool) <= allCandidates {
		return pool
	}

	chosen := topHomes(pool, r.Prompt)
	most := len(chosen) + drawn

	for range attempts {
		one := pool[rand.IntN(len(pool))]
		if one.leaving.Load() || excluded(r.Excluded, one.entry.ID) {
			continue
		}

		chosen = append(chosen, one)
		if len(chosen) == most {
			break
		}
	}

	return chosen
}

// topHomes returns the servers with the highest hashes of the common part and their id.
func topHomes(pool []*server, p Prompt) []*server {
	affinity := p.affinity()
	if affinity == "" {
		return nil
	}

	var (
		top     [homes]*server
		weights [homes]uint64
	)

	key := affinityKey(affinity)

	for _, one := range pool {
		weight := mix(key ^ one.hash)

		for i := range top {
			if top[i] != nil && weight <= weights[i] {
				continue
			}

			copy(top[i+1:], top[i:homes-1])
			copy(weights[i+1:], weights[i:homes-1])
			top[i], weights[i] = one, weight

			break
		}
	}

	chosen := make([]*server, 0, homes+drawn)

	for _, one := range top {
		if one != nil {
			chosen = append(chosen, one)
		}
	}

	return chosen
}
