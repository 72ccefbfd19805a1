package routing

import (
	"sync/atomic"
	"time"
)

const prefixWays = 4

// prefixes remembers which servers may hold a prompt prefix in their cache. Its
// size is fixed: a new prefix takes the place of the oldest of its set. What it
// says is a hint, for the events behind it are late and have gaps.
type prefixes struct {
	sets     []prefixSet
	lifetime time.Duration
}

type prefixSet [prefixWays]atomic.Pointer[prefixEntry]

// prefixEntry is immutable.
type prefixEntry struct {
	prefix uint64
	server *server
	until  time.Time
}

func newPrefixes(size int, lifetime time.Duration) *prefixes {
	return &prefixes{sets: make([]prefixSet, max(1, size/prefixWays)), lifetime: lifetime}
}

func (p *prefixes) set(prefix uint64) *prefixSet {
	return &p.sets[prefix%uint64(len(p.sets))]
}

// hold notes that a server has the prefix, or will have it soon.
func (p *prefixes) hold(now time.Time, prefix uint64, s *server) {
	set := p.set(prefix)
	oldest := 0
	var oldestUntil time.Time

	for i := range set {
		e := set[i].Load()
		if e == nil {
			oldest = i

			break
		}

		if e.prefix == prefix && e.server == s {
			oldest = i

			break
		}

		if i == 0 || e.until.Before(oldestUntil) {
			oldest, oldestUntil = i, e.until
		}
	}

	set[oldest].Store(&prefixEntry{prefix: prefix, server: s, until: now.Add(p.lifetime)})
}

// drop notes that a server has evicted the prefix.
func (p *prefixes) drop(prefix uint64, s *server) {
	set := p.set(prefix)

	for i := range set {
		e := set[i].Load()
		if e != nil && e.prefix == prefix && e.server == s {
			set[i].CompareAndSwap(e, nil)
		}
	}
}
