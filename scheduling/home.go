package scheduling

import "github.com/cespare/xxhash/v2"

// SharedSegments returns the segments that other requests may share.
func (p Prompt) SharedSegments() []Segment { return p.Segments[:max(len(p.Segments)-1, 0)] }

// sharedTokens returns the tokens of the segments that other requests may share: all
// but the last one, which belongs to the request alone.
func (p Prompt) sharedTokens() int {
	sum := 0

	for _, segment := range p.SharedSegments() {
		sum += segment.Tokens
	}

	return sum
}

// ownTokens returns the tokens of the last segment, which belongs to the request alone.
func (p Prompt) ownTokens() int {
	if len(p.Segments) == 0 {
		return p.Tokens
	}

	return p.Segments[len(p.Segments)-1].Tokens
}

// keys returns the keys of all segments.
func (p Prompt) keys() []Key {
	keys := make([]Key, len(p.Segments))
	for i, segment := range p.Segments {
		keys[i] = keyOf(segment.ID)
	}

	return keys
}

// uncachedTokens returns the tokens that a server has to read if it has cached some of the
// prompt. isHome is set for the home of the shared prefix while no server is known to hold
// that prefix.
func (p Prompt) uncachedTokens(cached int, isHome bool) int {
	if p.Tokens == 0 {
		return 0
	}

	if isHome {
		cached = max(cached, int(homeCachedFraction*float64(p.sharedTokens())))
	}

	return max(p.Tokens-cached, 1)
}

// affinity returns the ID of the segment by which the home is chosen: the last segment that other
// requests may share, or the only segment.
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

// homeCount is how many home servers a shared prefix has, in order of preference, so that
// overflow of the first home always goes to the same second one and finds its cache.
const homeCount = 3

// homesAmong returns the homes of a prompt's shared prefix, weighted by pace where paces are known.
func homesAmong(pool []*server, p Prompt, paces *servicePace) [homeCount]*server {
	if paces == nil {
		return homesOf(pool, p)
	}

	return weightedHomesOf(pool, p, paces.fastest.load())
}

// homesOf returns the servers that every instance prefers for the shared prefix of a prompt,
// most preferred first: those with the highest rendezvous hash of prefix and server. A server
// that is added or removed moves only the prefixes that are its own. If there are fewer servers,
// or no shared prefix, the remaining elements are nil.
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

// mix spreads the bits of a number with the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb

	return x ^ x>>31
}
