package standin

import (
	"container/list"
	"sync"
	"time"

	"monsoonlever/backend"
	"monsoonlever/clock"
	"monsoonlever/fleet"
)

const maxCacheEvents = 10_000

// prefixCache holds the blocks of prompt prefixes in a bounded memory, the least
// recently used going first, and tells of its changes late and with gaps.
type prefixCache struct {
	clock  clock.Clock
	blocks int
	delay  time.Duration
	// gap leaves out every gap-th event; zero leaves out none.
	gap uint64

	mu       sync.Mutex
	recent   *list.List
	held     map[uint64]*list.Element
	sequence uint64
	events   []timedCacheEvent
}

type timedCacheEvent struct {
	seen  time.Time
	event backend.CacheEvent
}

func newPrefixCache(c clock.Clock, blocks int, delay time.Duration, gap uint64) *prefixCache {
	return &prefixCache{
		clock:  c,
		blocks: blocks,
		delay:  delay,
		gap:    gap,
		recent: list.New(),
		held:   make(map[uint64]*list.Element),
	}
}

// match returns how many words at the start are cached.
func (p *prefixCache) match(model fleet.Model, words []string) int {
	p.mu.Lock()
	defer p.mu.Unlock()

	cached := 0

	for _, hash := range blockHashes(model, words) {
		element, ok := p.held[hash]
		if !ok {
			break
		}

		p.recent.MoveToFront(element)
		cached += backend.PrefixBlockWords
	}

	return cached
}

// add caches the words' blocks.
func (p *prefixCache) add(model fleet.Model, words []string) {
	p.mu.Lock()
	defer p.mu.Unlock()

	for _, hash := range blockHashes(model, words) {
		if element, ok := p.held[hash]; ok {
			p.recent.MoveToFront(element)

			continue
		}

		p.held[hash] = p.recent.PushFront(hash)
		p.tell(hash, false)
	}

	for p.recent.Len() > p.blocks {
		hash, _ := p.recent.Remove(p.recent.Back()).(uint64)
		delete(p.held, hash)
		p.tell(hash, true)
	}
}

func (p *prefixCache) tell(hash uint64, evicted bool) {
	p.sequence++
	if p.gap > 0 && p.sequence%p.gap == 0 {
		return
	}

	p.events = append(p.events, timedCacheEvent{
		seen:  p.clock.Now().Add(p.delay),
		event: backend.CacheEvent{Sequence: p.sequence, Prefix: hash, Evicted: evicted},
	})

	if len(p.events) > maxCacheEvents {
		p.events = p.events[1:]
	}
}

// eventsAfter returns the events after a sequence number that may be seen by now.
func (p *prefixCache) eventsAfter(after uint64) []backend.CacheEvent {
	p.mu.Lock()
	defer p.mu.Unlock()

	now := p.clock.Now()

	var events []backend.CacheEvent

	for _, e := range p.events {
		if e.event.Sequence > after && !e.seen.After(now) {
			events = append(events, e.event)
		}
	}

	return events
}

func blockHashes(model fleet.Model, words []string) []uint64 {
	h := backend.NewPrefixHasher(model)

	var hashes []uint64

	for _, word := range words {
		if hash, ok := h.Add(word); ok {
			hashes = append(hashes, hash)
		}
	}

	return hashes
}
