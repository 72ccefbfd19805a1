package scheduling

import "github.com/cespare/xxhash/v2"

// sharedTokens returns the tokens of the parts that other requests may have brought:
// all but the last, which belongs to the request itself.
func (p Prompt) sharedTokens() int {
	sum := 0

	for _, segment := range p.Segments[:max(len(p.Segments)-1, 0)] {
		sum += segment.Tokens
	}

	return sum
}

// ownTokens returns the tokens of the last part, which belongs to the request itself.
func (p Prompt) ownTokens() int {
	if len(p.Segments) == 0 {
		return p.Tokens
	}

	return p.Segments[len(p.Segments)-1].Tokens
}

// keys returns the keys of all parts.
func (p Prompt) keys() []Key {
	keys := make([]Key, len(p.Segments))
	for i, segment := range p.Segments {
		keys[i] = keyOf(segment.ID)
	}

	return keys
}

// uncachedTokens returns the tokens that a server has to read which holds some. home tells that
// it is the home of the common part, and that no server is known to hold that.
func (p Prompt) uncachedTokens(cached int, isHome bool) int {
	if p.Tokens == 0 {
		return 0
	}

	if isHome {
		cached = max(cached, int(homeCachedFraction*float64(p.sharedTokens())))
	}

	return max(p.Tokens-cached, 1)
}

// affinity names what requests with the same home have in common.
func (p Prompt) affinity() string {
	switch n := len(p.Segments); n {
	case 0:
		return ""
	case 1:
		return p.Segments[0].ID
	default:
		return p.Segments[n-2].ID
	}
}

// homeCount is how many servers a common part has that take it in their order, so that what
// overflows from one home is found again at the next.
const homeCount = 3

// homesOf returns the servers that every instance prefers for the common part of a
// prompt, the first one most: those with the highest hashes of the two. A server that
// comes or goes moves only the parts that it has. Where there are fewer, or no common
// part, the rest is nil.
func homesOf(pool []*server, p Prompt) [homeCount]*server {
	var (
		homes   [homeCount]*server
		weights [homeCount]uint64
	)

	affinity := p.affinity()
	if affinity == "" {
		return homes
	}

	key := xxhash.Sum64String(affinity)

	for _, srv := range pool {
		weight := mix(key ^ srv.hash)

		for i := range homes {
			if homes[i] != nil && weight <= weights[i] {
				continue
			}

			copy(homes[i+1:], homes[i:homeCount-1])
			copy(weights[i+1:], weights[i:homeCount-1])
			homes[i], weights[i] = srv, weight

			break
		}
	}

	return homes
}

// mix spreads the bits of a number; the constants are those of the finalizer of
// splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb

	return x ^ x>>31
}
