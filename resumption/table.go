package resumption

import (
	"sync"
	"time"

	"monsoonlever/quarantine"
)

const (
	// maxLifetime bounds how long a record is kept, whatever its sender names.
	maxLifetime = 10 * time.Minute
	// maxStreams bounds the records, to some 10 MB of memory.
	maxStreams = 1 << 16
	// maxAttempts bounds the records of one request.
	maxAttempts = 16
	// evictionDivisor sets the part of the requests, 1/evictionDivisor, that is evicted when there
	// are too many records.
	evictionDivisor = 8
	// sweepInterval is the interval of the removal of expired records.
	sweepInterval = 10 * time.Second
)

// table holds records. The zero value is empty; it is safe for concurrent use.
type table struct {
	mu        sync.Mutex
	requests  map[quarantine.Fingerprint][]entry
	count     int
	lastSweep time.Time
}

// entry is the record of one stream.
type entry struct {
	attempt Attempt
	origin  Origin
	expires time.Time
	// ambiguous is set once another record names another origin.
	ambiguous bool
}

// add adds a record, or extends the one that is known. It reports whether the record is new.
func (t *table) add(now time.Time, s Stream, o Origin, expires time.Time) bool {
	if latest := now.Add(maxLifetime); expires.After(latest) {
		expires = latest
	}

	if !expires.After(now) {
		return false
	}

	t.mu.Lock()
	defer t.mu.Unlock()

	if t.requests == nil {
		t.requests = make(map[quarantine.Fingerprint][]entry)
	}

	t.makeRoom(now)

	entries := t.requests[s.Content]

	for i := range entries {
		known := &entries[i]
		if known.attempt != s.Attempt {
			continue
		}

		known.ambiguous = known.ambiguous || known.origin != o

		if expires.After(known.expires) {
			known.expires = expires
		}

		return false
	}

	if len(entries) >= maxAttempts {
		entries = entries[1:]
		t.count--
	}

	t.requests[s.Content] = append(entries, entry{attempt: s.Attempt, origin: o, expires: expires})
	t.count++

	return true
}

// find returns where a stream began. Without an attempt, all streams of the request must have begun
// at the same version.
func (t *table) find(now time.Time, s Stream) (Origin, Result) {
	t.mu.Lock()
	defer t.mu.Unlock()

	origin, result := Origin{}, Unknown

	for _, e := range t.requests[s.Content] {
		switch {
		case !e.expires.After(now), s.Attempt != 0 && e.attempt != s.Attempt:
		case e.ambiguous, result == Known && e.origin != origin:
			return Origin{}, Ambiguous
		default:
			origin, result = e.origin, Known
		}
	}

	return origin, result
}

// each calls f with each record.
func (t *table) each(now time.Time, f func(Stream, Origin, time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()

	for content, entries := range t.requests {
		for _, e := range entries {
			if e.expires.After(now) && !e.ambiguous {
				f(Stream{Content: content, Attempt: e.attempt}, e.origin, e.expires)
			}
		}
	}
}

func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()

	return t.count
}

// makeRoom removes expired records, and evicts some if there are too many.
func (t *table) makeRoom(now time.Time) {
	if now.Sub(t.lastSweep) >= sweepInterval {
		t.lastSweep = now
		t.removeExpired(now)
	}

	if t.count < maxStreams {
		return
	}

	for content, entries := range t.requests {
		delete(t.requests, content)

		if t.count -= len(entries); t.count <= maxStreams-maxStreams/evictionDivisor {
			return
		}
	}
}

func (t *table) removeExpired(now time.Time) {
	for content, entries := range t.requests {
		live := entries[:0]

		for _, e := range entries {
			if e.expires.After(now) {
				live = append(live, e)
			}
		}

		t.count -= len(entries) - len(live)

		if len(live) == 0 {
			delete(t.requests, content)
		} else {
			t.requests[content] = live
		}
	}
}
