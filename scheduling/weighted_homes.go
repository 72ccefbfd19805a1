package scheduling

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// weightedHomesOf returns the homes of a prompt's shared prefix as homesOf does, where a server is the
// home of a share of prefixes that is proportional to its pace (weighted rendezvous hashing).
func weightedHomesOf(pool []*server, p Prompt, fastest float64) [homeCount]*server {
	var homes [homeCount]*server

	affinity := p.affinity()
	if affinity == "" {
		return homes
	}

	key := xxhash.Sum64String(affinity)
	scores := [homeCount]float64{math.Inf(1), math.Inf(1), math.Inf(1)}
	// A hash below least, which is below e to the power of -score × weight, can't reach the scores of the
	// homes so far with any weight.
	least := 0.0

	for _, srv := range pool {
		hash := (float64(mix(key^srv.hash)>>11) + 0.5) / (1 << 53)
		if hash < least {
			continue
		}

		score := -math.Log(hash) / srv.pace.drawWeight(fastest)

		for i := range homes {
			if score >= scores[i] {
				continue
			}

			copy(homes[i+1:], homes[i:homeCount-1])
			copy(scores[i+1:], scores[i:homeCount-1])
			homes[i], scores[i] = srv, score
			least = 1 - scores[homeCount-1]*fastest

			break
		}
	}

	return homes
}
