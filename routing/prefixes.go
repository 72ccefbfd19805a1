package routing

import (
	"sync/atomic"
	"time"
)

const (
	// entriesPerSet is how many holders of prefixes share a set.
	entriesPerSet = 8
	// maxHolders is how many holders of one prefix are remembered.
	maxHolders = 6
)

// prefixIndex remembers which servers may hold a prompt prefix in their cache. Its
// size is fixed: a new prefix takes the place of the oldest of its set. What it
// says is a hint, for the events behind it are late and have gaps.
type prefixIndex struct {
	sets []prefixSet
	ttl  time.Duration
}

type prefixSet [entriesPerSet]atomic.Pointer[prefixEntry]

// prefixEntry is immutable.
type prefixEntry struct {
	prefix    uint64
	server    *server
	expiresAt time.Time
}

func newPrefixIndex(size int, ttl time.Duration) *prefixIndex {
	return &prefixIndex{sets: make([]prefixSet, max(1, size/entriesPerSet)), ttl: ttl}
}

func (p *prefixIndex) set(prefix uint64) *prefixSet {
	return &p.sets[prefix%uint64(len(p.sets))]
}

// add notes that a server has the prefix, or will have it soon. Of the holders
// of one prefix the ones of lowest rank are kept, so that entry instances which
// hear the same events don't all send to the same few.
func (p *prefixIndex) add(now time.Time, prefix uint64, s *server) {
	set := p.set(prefix)
	if i := set.slotFor(now, prefix, s); i >= 0 {
		set[i].Store(&prefixEntry{prefix: prefix, server: s, expiresAt: now.Add(p.ttl)})
	}
}

// slotFor returns where the entry of a holder goes, or -1 for nowhere.
func (set *prefixSet) slotFor(now time.Time, prefix uint64, s *server) int {
	var (
		holders, highest, oldest int
		highestRank              uint64
		oldestExpiry             time.Time
	)

	for i := range set {
		e := set[i].Load()

		if e == nil || now.After(e.expiresAt) {
			oldest, oldestExpiry = i, time.Time{}

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

		if i == 0 || e.expiresAt.Before(oldestExpiry) {
			oldest, oldestExpiry = i, e.expiresAt
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

// remove notes that a server has evicted the prefix.
func (p *prefixIndex) remove(prefix uint64, s *server) {
	set := p.set(prefix)

	for i := range set {
		e := set[i].Load()
		if e != nil && e.prefix == prefix && e.server == s {
			set[i].CompareAndSwap(e, nil)
		}
	}
}
