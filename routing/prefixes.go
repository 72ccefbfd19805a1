package routing

import (
	"sync/atomic"
	"time"
)

const (
	// entriesPerSet is the number of entries in a set (the associativity).
	entriesPerSet = 8
	// maxHolders is the maximum number of servers that are stored for one prefix.
	maxHolders = 6
)

// prefixIndex is a set-associative cache of which servers may have a prompt prefix
// cached. Its size is fixed: a new entry replaces the one of its set that expires
// first. Its entries are only hints, since cache events arrive late and may be lost.
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

// add records that a server has a prefix cached, or soon will have. Of more than
// maxHolders servers with the same prefix, the index keeps those of lowest rank. The
// rank depends on the entry instance, so that entry instances that receive the same
// cache events don't all send to the same few servers.
func (p *prefixIndex) add(now time.Time, prefix uint64, s *server) {
	set := p.set(prefix)
	if i := set.slotFor(now, prefix, s); i >= 0 {
		set[i].Store(&prefixEntry{prefix: prefix, server: s, expiresAt: now.Add(p.ttl)})
	}
}

// slotFor returns the index of the entry to write for a server with a prefix, or -1 if
// the prefix has enough servers of lower rank.
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

// remove records that a server has evicted a prefix.
func (p *prefixIndex) remove(prefix uint64, s *server) {
	set := p.set(prefix)

	for i := range set {
		e := set[i].Load()
		if e != nil && e.prefix == prefix && e.server == s {
			set[i].CompareAndSwap(e, nil)
		}
	}
}
