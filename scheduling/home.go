package scheduling

import "github.com/cespare/xxhash/v2"

// shared returns the tokens of the parts that other requests may have brought:
// all but the last, which belongs to the request itself.
func (p Prompt) shared() int {
	sum := 0

	for _, part := range p.Parts[:max(len(p.Parts)-1, 0)] {
		sum += part.Tokens
	}

	return sum
}

// own returns the tokens of the last part, which belongs to the request itself.
func (p Prompt) own() int {
	if len(p.Parts) == 0 {
		return p.Tokens
	}

	return p.Parts[len(p.Parts)-1].Tokens
}

// affinity names what requests with the same home have in common.
func (p Prompt) affinity() string {
	switch n := len(p.Parts); n {
	case 0:
		return ""
	case 1:
		return p.Parts[0].ID
	default:
		return p.Parts[n-2].ID
	}
}

// homeOf returns the server that every instance prefers for the common part of a
// prompt: the one with the highest hash of the two. A server that comes or goes
// moves only the parts that it has.
func homeOf(pool []*server, p Prompt) *server {
	affinity := p.affinity()
	if affinity == "" {
		return nil
	}

	key := affinityKey(affinity)

	var home *server

	var highest uint64

	for _, s := range pool {
		if weight := mix(key ^ s.hash); home == nil || weight > highest {
			home, highest = s, weight
		}
	}

	return home
}

func affinityKey(affinity string) uint64 { return xxhash.Sum64String(affinity) }

// mix spreads the bits of a number; the constants are those of the finalizer of
// splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb

	return x ^ x>>31
}
