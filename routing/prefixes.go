package routing

import (
	"sync/atomic"
	"time"
)

const (
	// prefixWays is how many holders of prefixes share a set.
	prefixWays = 8
	// maxHolders is how many holders of one prefix are remembered.
	maxHolders = 6
)

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

// hold notes that a server has the prefix, or will have it soon. Of the holders
// of one prefix the ones of lowest rank are kept, so that entry instances which
// hear the same events don't all send to the same few.
func (p *prefixes) hold(now time.Time, prefix uint64, s *server) {
	set := p.set(prefix)
	if i := set.place(now, prefix, s); i >= 0 {
		set[i].Store(&prefixEntry{prefix: prefix, server: s, until: now.Add(p.lifetime)})
	}
}

// place returns where the entry of a holder goes, or -1 for nowhere.
func (set *prefixSet) place(now time.Time, prefix uint64, s *server) int {
	var (
		holders, highest, oldest int
		highestRank              uint64
		oldestUntil              time.Time
	)

	for i := range set {
		e := set[i].Load()

		if e == nil || now.After(e.until) {
			oldest, oldestUntil = i, time.Time{}

			continue
		}

		if e.prefix == prefix && e.server == s {
			return i
		}

		if e.prefix == prefix {
			holders++

			if e.server.rank >= highestRank {
				highest, highestRank = i, e.server.rank
			}
		}

		if i == 0 || e.until.Before(oldestUntil) {
			oldest, oldestUntil = i, e.until
		}
	}

	if holders < maxHolders {
		return oldest
	}

	if s.rank < highestRank {
		return highest
	}

	return -1
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
