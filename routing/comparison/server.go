package comparison

import (
	"slices"
	"time"

	"monsoonlever/backend"
)

// server is a simulated model engine with slots, a first-in, first-out queue and a
// prefix cache.
type server struct {
	slowFactor float64
	running    int
	waiting    []*request
	// cache holds the cached prefixes, the most recently used last.
	cache    []uint64
	sequence uint64
}

func (s *server) load() int {
	return s.running + len(s.waiting)
}

// lookUpPrefix reports whether a prefix is cached. It makes the prefix the most
// recently used one and returns the events of the change.
func (s *server) lookUpPrefix(prefix uint64) (bool, []backend.CacheEvent) {
	if i := slices.Index(s.cache, prefix); i >= 0 {
		s.cache = append(slices.Delete(s.cache, i, i+1), prefix)

		return true, nil
	}

	s.cache = append(s.cache, prefix)
	events := []backend.CacheEvent{s.nextEvent(prefix, false)}

	if len(s.cache) > prefixCacheSize {
		events = append(events, s.nextEvent(s.cache[0], true))
		s.cache = s.cache[1:]
	}

	return false, events
}

func (s *server) nextEvent(prefix uint64, evicted bool) backend.CacheEvent {
	s.sequence++

	return backend.CacheEvent{Sequence: s.sequence, Prefix: prefix, Evicted: evicted}
}

func (s *server) scaleDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.slowFactor)
}
